// Tests of the adapter's decoding of the platform's messages.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <utility>

#include "platform/callers.h"
#include "platform/inventory.h"
#include "platform/operator.h"

static seam_err e = SEAM_ERR_INIT;

// Guards against wrong member names in the decoding of a configuration.
TEST(Wire, Configuration)
{
	seam_catalog *c = seam_operator_catalog(
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
		"\"prefix\":\"/a/\",\"targetCompletionMs\":600,\"priority\":1,"
		"\"service\":\"s\",\"attempts\":3,\"stretch\":1.6,"
		"\"public\":true},{\"name\":\"r2\",\"host\":\"h.example\","
		"\"prefix\":\"/a/b/\",\"service\":\"s\",\"advice\":{}}],"
		"\"services\":[{\"name\":\"s\",\"rejectsOverload\":true},"
		"{\"name\":\"off\",\"standby\":true}],"
		"\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k1\",\"k2\"],"
		"\"weight\":77,\"cap\":{\"cpu\":5000,\"memMb\":9,\"gpu\":0}}]}",
		&e);

	ASSERT_NE(c, nullptr);
	EXPECT_EQ(c->version, 7u);
	const seam_job_queue *q =
		seam_catalog_route(c, "H.example:80", "/a/0123");
	ASSERT_NE(q, nullptr);
	EXPECT_STREQ(q->name, "r");
	EXPECT_DOUBLE_EQ(q->stretch, 1.6);
	EXPECT_EQ(q->target_ms, 600);
	EXPECT_TRUE(q->open);
	EXPECT_FALSE(q->needs_placement_advice);
	/* The longest prefix wins; another host has no queue. */
	EXPECT_STREQ(seam_catalog_route(c, "h.example", "/a/b/1")->name, "r2");
	EXPECT_TRUE(seam_catalog_queue(c, "r2")->needs_placement_advice);
	EXPECT_EQ(seam_catalog_route(c, "h.exampl", "/a/1"), nullptr);
	EXPECT_EQ(seam_catalog_route(c, "h.example", "/b/1"), nullptr);
	EXPECT_TRUE(seam_catalog_pool(c, "off")->standby);
	EXPECT_TRUE(seam_catalog_pool(c, "s")->rejects_overload);
	ASSERT_NE(seam_catalog_workspace_by_key(c, "k2"), nullptr);
	EXPECT_EQ(seam_catalog_workspace_by_key(c, "k2")->limit.cpu, 5000);
	EXPECT_EQ(seam_catalog_workspace_by_key(c, "k3"), nullptr);
	seam_catalog_free(c);
}

// Guards against replacing a valid configuration with a malformed one.
TEST(Wire, DamagedConfiguration)
{
	for (const char *text :
	     {"", "{", "[]", "{}", "{\"version\":1}",
	      "{\"version\":\"x\",\"routes\":[],\"services\":[]}",
	      "{\"version\":0,\"routes\":[],\"services\":[]}"})
		EXPECT_EQ(seam_operator_catalog(text, &e), nullptr) << text;
}

// Guards against adopting an older version after a newer one.
TEST(Wire, VersionsNeverRevert)
{
	seam_catalog_cell cell = {};
	auto make = [](const char *v) {
		return seam_operator_catalog((std::string("{\"version\":") + v +
					      ",\"routes\":[],\"services\":[]}")
						     .c_str(),
					     &e);
	};

	EXPECT_TRUE(seam_catalog_publish(&cell, make("5")));
	EXPECT_FALSE(seam_catalog_publish(&cell, make("4")));
	EXPECT_FALSE(seam_catalog_publish(&cell, make("5")));
	EXPECT_EQ(cell.now->version, 5u);
	seam_catalog_free(cell.now);
}

static const char *const WORKER =
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	"\"state\":\"draining\",\"capacity\":{\"cpu\":16000,\"memMb\":32},"
	"\"labels\":[\"a\",\"r1\"],\"machine\":\"m-1\",\"born\":1700000000123,"
	"\"remainingMs\":900,\"coldRemainingMs\":5,\"sequence\":4}";

// Guards against wrong member names in the decoding of a worker row.
TEST(Wire, Worker)
{
	seam_worker_info w;

	ASSERT_EQ(seam_inventory_worker("servers/i-7", WORKER, &w, &e), 0);
	EXPECT_STREQ(w.id, "i-7");
	EXPECT_STREQ(w.pool, "s");
	EXPECT_STREQ(w.vm, "m-1");
	EXPECT_STREQ(w.dc, "z");
	EXPECT_EQ(w.process_start_ms, 1700000000123);
	EXPECT_EQ(w.capacity.cpu, 16000);
	EXPECT_EQ(w.labels, 2);
	EXPECT_TRUE(w.draining);
	EXPECT_EQ(w.drain_left_ms, 900);
}

// Returns WORKER with @from replaced by @to.
static std::string worker_with(const char *from, const std::string &to)
{
	std::string s = WORKER;

	return s.replace(s.find(from), strlen(from), to);
}

// Expects the row to be rejected and the error to be @rule of a member.
static void expect_rejected(const std::string &text, const std::string &rule,
			    const std::string &key = "servers/i-7")
{
	seam_worker_info w;

	seam_err_clear(&e);
	EXPECT_EQ(seam_inventory_worker(key.c_str(), text.c_str(), &w, &e), -1)
		<< text;
	EXPECT_EQ(e.text, "worker row " + key.substr(0, 100) + ": " + rule);
}

// Guards against accepting rows of other writers: a row whose members are
// missing or of another type is not a worker.
TEST(Wire, ForeignWorkerRows)
{
	seam_worker_info w;
	std::string whole = WORKER;
	auto with = [&](const char *from, const char *to) {
		std::string s = whole;

		s.replace(s.find(from), strlen(from), to);
		return s;
	};

	for (const std::string &s :
	     {std::string("\x01\xff"), std::string("[]"),
	      with("\"draining\"", "\"resting\""), with("\"z\"", "5"),
	      with("\"10.0.0.1:80\"", "null"), with("16000", "\"16000\""),
	      with("{\"cpu\":16000,\"memMb\":32}", "[]"),
	      with("[\"a\",\"r1\"]", "\"a\""), with("\"r1\"", "7")})
		EXPECT_EQ(
			seam_inventory_worker("servers/i-7", s.c_str(), &w, &e),
			-1)
			<< s;
}

// Guards against two workers that become one as their names are cut.
TEST(Wire, WorkerNames)
{
	const std::string longest(63, 'n');
	const std::string too_long = longest + "n";
	seam_worker_info w;

	for (const char *name : {"\"s\"", "\"z\"", "\"r1\"", "\"m-1\""})
		EXPECT_EQ(seam_inventory_worker(
				  ("servers/" + longest).c_str(),
				  worker_with(name, "\"" + longest + "\"")
					  .c_str(),
				  &w, &e),
			  0)
			<< e.text;
	EXPECT_EQ(w.id, longest);
	EXPECT_EQ(w.vm, longest);
	for (auto &x :
	     std::initializer_list<std::pair<const char *, const char *>>{
		     {"\"s\"", "service"},
		     {"\"10.0.0.1:80\"", "address"},
		     {"\"z\"", "zone"},
		     {"\"r1\"", "labels"},
		     {"\"m-1\"", "machine"}}) {
		expect_rejected(worker_with(x.first, "\"" + too_long + "\""),
				std::string(x.second) +
					": must be shorter than 64 bytes");
		expect_rejected(worker_with(x.first, "{}"),
				std::string(x.second) + ": must be a string");
	}
	expect_rejected(WORKER, "id: must be shorter than 64 bytes",
			"servers/" + too_long);
	expect_rejected(WORKER, "id: must be shorter than 64 bytes",
			"servers/" + std::string(200, 'n'));
	expect_rejected(WORKER, "id: must not be empty", "servers/");
	expect_rejected(worker_with("\"s\"", "\"\""),
			"service: must not be empty");
	expect_rejected(worker_with("\"10.0.0.1:80\"", "\"\""),
			"address: must not be empty");
}

// Guards against a sum of capacities that overflows.
TEST(Wire, WorkerCapacity)
{
	seam_worker_info w;

	ASSERT_EQ(seam_inventory_worker(
			  "servers/i-7",
			  worker_with("{\"cpu\":16000,\"memMb\":32}",
				      "{\"cpu\":1000000000,"
				      "\"memMb\":1000000000,\"gpu\":0}")
				  .c_str(),
			  &w, &e),
		  0)
		<< e.text;
	EXPECT_EQ(w.capacity.memory, 1000000000);
	for (std::string name : {"cpu", "memMb", "gpu"}) {
		std::string rest =
			name == "cpu" ? "}" : ",\"cpu\":1,\"slots\":\"x\"}";
		auto with = [&](const char *value) {
			return worker_with("{\"cpu\":16000,\"memMb\":32}",
					   "{\"" + name + "\":" + value + rest);
		};

		for (const char *value :
		     {"-1", "1000000001", "9223372036854775807",
		      "99999999999999999999", "-99999999999999999999"})
			expect_rejected(with(value),
					"capacity." + name +
						": must be 0 to 1000000000");
		for (const char *value : {"\"7\"", "1.5", "1e99", "true", "[]"})
			expect_rejected(with(value),
					"capacity." + name +
						": must be a whole number");
	}
}

// Guards against orders to an address that no connection can be opened to.
TEST(Wire, WorkerAddress)
{
	seam_worker_info w;

	for (const char *addr :
	     {"10.0.0.1:1", "10.0.0.1:65535", "[::1]:80", "[fe80::7]:8080"}) {
		ASSERT_EQ(seam_inventory_worker(
				  "servers/i-7",
				  worker_with("10.0.0.1:80", addr).c_str(), &w,
				  &e),
			  0)
			<< e.text;
		EXPECT_STREQ(w.addr, addr);
	}
	for (const char *addr :
	     {"10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:-1", "10.0.0.1:+80",
	      "10.0.0.1:8o", "10.0.0.1: 80", "10.0.0.256:80", "10.0.1:80",
	      "host:80", "::1:80", "[::1:80", "[::1]80", "[]:80", "[:80",
	      "[10.0.0.1]:80", "http://10.0.0.1:80", "10.0.0.1:80/x"})
		expect_rejected(worker_with("10.0.0.1:80", addr),
				"address: must be IP:PORT");
	for (const char *port :
	     {"0", "65536", "70000", "99999999999999999999999"})
		expect_rejected(worker_with("10.0.0.1:80",
					    std::string("10.0.0.1:") + port),
				"address: port must be 1 to 65535");
}

// Guards against one start time far ahead that hides all later rows.
TEST(Wire, WorkerTimes)
{
	const struct {
		std::string name, value, largest, too_large;
	} times[] = {
		{"born", "1700000000123", "4102444800000", "4102444800001"},
		{"coldRemainingMs", "5", "31536000000", "31536000001"},
		{"remainingMs", "900", "31536000000", "31536000001"},
	};
	seam_worker_info w;

	for (auto &t : times) {
		std::string member = "\"" + t.name + "\":";
		auto with = [&](const std::string &value) {
			return worker_with((member + t.value).c_str(),
					   member + value);
		};

		EXPECT_EQ(seam_inventory_worker("servers/i-7",
						with(t.largest).c_str(), &w,
						&e),
			  0)
			<< e.text;
		for (const char *value : {"\"7\"", "1.5", "1e99", "{}"})
			expect_rejected(with(value),
					t.name + ": must be a whole number");
		for (const std::string &value :
		     {std::string("-1"), t.too_large,
		      std::string("9223372036854775807"),
		      std::string("99999999999999999999")})
			expect_rejected(with(value),
					t.name + ": must be 0 to " + t.largest);
	}
	ASSERT_EQ(seam_inventory_worker(
			  "servers/i-7",
			  worker_with("\"born\":1700000000123,", "").c_str(),
			  &w, &e),
		  0)
		<< e.text;
	EXPECT_EQ(w.process_start_ms, 0);
}

// Guards against names that end a log line or a request header.
TEST(Wire, WorkerBytes)
{
	const char *rule = ": must be UTF-8 without control characters";
	seam_worker_info w;
	auto nested = [](int depth) {
		return worker_with("\"sequence\":4",
				   "\"other\":" + std::string(depth, '[') +
					   std::string(depth, ']'));
	};

	for (const char *bytes : {"\\u0000", "a\\u0000b", "a\\nb", "a\\u007f",
				  "\xff", "\xc3\x28"}) {
		std::string name = std::string("\"") + bytes + "\"";

		expect_rejected(worker_with("\"s\"", name),
				std::string("service") + rule);
		expect_rejected(worker_with("\"z\"", name),
				std::string("zone") + rule);
		expect_rejected(worker_with("\"m-1\"", name),
				std::string("machine") + rule);
		expect_rejected(worker_with("\"r1\"", name),
				std::string("labels") + rule);
		expect_rejected(worker_with("\"10.0.0.1:80\"", name),
				std::string("address") + rule);
	}
	for (const char *id : {"a\nb",
			       "a\x01"
			       "b",
			       "a\rb"}) {
		std::string key = std::string("servers/") + id;

		seam_err_clear(&e);
		EXPECT_EQ(seam_inventory_worker(key.c_str(), WORKER, &w, &e),
			  -1);
		EXPECT_STREQ(e.text,
			     (std::string("worker row servers/a?b: id") + rule)
				     .c_str());
	}
	expect_rejected(WORKER, std::string("id") + rule, "servers/a\xff");
	EXPECT_EQ(seam_inventory_worker(
			  "servers/\xc3\xa9",
			  worker_with("\"s\"", "\"\\u00e9\"").c_str(), &w, &e),
		  0);
	EXPECT_EQ(seam_inventory_worker("servers/a",
					(std::string(WORKER) + " \r\n").c_str(),
					&w, &e),
		  0);
	expect_rejected(std::string(WORKER) + "}", "text after the object");
	expect_rejected(std::string(WORKER) + WORKER, "text after the object");
	expect_rejected("[]", "must be an object");
	expect_rejected("null", "must be an object");
	expect_rejected("7", "must be an object");
	for (const char *text : {"", "{", "\x01\xff", "\xff\xfe{}", "{\"a\":}"})
		EXPECT_EQ(seam_inventory_worker("servers/a", text, &w, &e), -1);
	EXPECT_EQ(
		seam_inventory_worker("servers/a", nested(20).c_str(), &w, &e),
		0);
	for (int depth : {32, 100, 200000})
		expect_rejected(nested(depth), "nesting too deep");
}

static int read_spec(const std::string &body, seam_jobspec *j, seam_err *e)
{
	return seam_platform_front.spec(body.data(), body.size(), j, e);
}

// Guards against wrong member names in the decoding of a job, and against wrong
// defaults of omitted members.
TEST(Wire, Job)
{
	seam_jobspec j = {};

	ASSERT_EQ(
		read_spec("{\"spec\":\"t\",\"steps\":[{\"count\":4,\"cpu\":500,"
			  "\"memMb\":256,\"estimateMs\":900,"
			  "\"affinity\":\"r1\"},{\"count\":2,\"after\":[0],"
			  "\"checkpointing\":true,\"maxPerServer\":3,"
			  "\"longRunning\":true,\"mayMiss\":1,\"targetMs\":80,"
			  "\"fills\":true,\"speculative\":true,"
			  "\"requirements\":\"big\",\"image\":\"i\"}],"
			  "\"unknown\":1}",
			  &j, &e),
		0);
	ASSERT_EQ(j.steps, 2);
	EXPECT_EQ(j.step[0].tasks, 4);
	EXPECT_EQ(j.step[0].need.memory, 256);
	EXPECT_STREQ(j.step[0].rack, "r1");
	EXPECT_EQ(j.step[1].after, 1u);
	EXPECT_EQ(j.step[1].per_worker, 3);
	EXPECT_EQ(j.step[1].may_miss, 1);
	EXPECT_EQ(j.step[1].target_ms, 80);
	EXPECT_TRUE(j.step[1].checkpoints && j.step[1].lasting &&
		    j.step[1].fills && j.step[1].speculative);
	EXPECT_STREQ(j.step[1].label, "big");
	seam_jobspec_free(&j);
	for (const char *bad :
	     {"", "{}", "{\"spec\":1,\"steps\":[]}", "{\"spec\":\"t\"}"}) {
		seam_jobspec none = {};

		EXPECT_EQ(read_spec(bad, &none, &e), -1) << bad;
		seam_jobspec_free(&none);
	}
}

// Guards against a wrong list or limit in the decoding of a wave.
TEST(Wire, Wave)
{
	seam_wave w;
	seam_time left = 0;

	ASSERT_EQ(seam_operator_wave("{\"wave\":3,\"machines\":[\"m-1\","
				     "\"m-2\"],\"durationS\":20,\"cap\":2}",
				     &w, &left, &e),
		  0);
	EXPECT_EQ(w.number, 3);
	EXPECT_EQ(w.vms, 2u);
	EXPECT_STREQ(w.vm[1], "m-2");
	EXPECT_EQ(w.at_once, 2);
	EXPECT_EQ(left, 20 * SEAM_SEC);
	free(w.vm);
	EXPECT_EQ(seam_operator_wave("{}", &w, &left, &e), -1);
}

// Guards against a caller with the key "(null)", read from a null.
TEST(Wire, OddElementsOfAConfigurationAreIgnored)
{
	const std::string ours(SEAM_NAME_SIZE - 1, 'a');
	const std::string text =
		"{\"version\":8,\"routes\":[null,7,{},{\"name\":null},"
		"{\"name\":\"n\",\"host\":null,\"prefix\":\"/n/\"},"
		"{\"name\":\"h\",\"host\":\"h.example\",\"prefix\":[]},"
		"{\"name\":\"" +
		ours + "b\"},{\"name\":\"" + ours +
		"\",\"host\":\"h.example\",\"prefix\":\"/a/\","
		"\"stretch\":\"x\",\"attempts\":4294967296}],"
		"\"services\":[null,{\"name\":5},{\"name\":\"s\"}],"
		"\"tenants\":[[],{\"name\":\"t\",\"apiKeys\":[null,7,\"\",\"" +
		ours +
		"b\",\"k1\"]},{\"name\":\"u\",\"apiKeys\":null},"
		"{\"name\":\"v\",\"apiKeys\":[\"k2\"]}]}";
	seam_catalog *c = seam_operator_catalog(text.c_str(), &e);

	ASSERT_NE(c, nullptr);
	ASSERT_EQ(c->queues, 1u);
	EXPECT_EQ(c->queue[0].name, ours);
	EXPECT_DOUBLE_EQ(c->queue[0].stretch, 1.0);
	EXPECT_EQ(c->queue[0].attempts, 1);
	ASSERT_EQ(c->pools, 1u);
	EXPECT_STREQ(c->pool[0].name, "s");
	EXPECT_EQ(c->workspaces, 3u);
	for (const std::string &key :
	     {std::string("(null)"), std::string("7"), std::string(""), ours})
		EXPECT_EQ(seam_catalog_workspace_by_key(c, key.c_str()),
			  nullptr)
			<< key;
	ASSERT_NE(seam_catalog_workspace_by_key(c, "k1"), nullptr);
	EXPECT_STREQ(seam_catalog_workspace_by_key(c, "k1")->name, "t");
	ASSERT_NE(seam_catalog_workspace_by_key(c, "k2"), nullptr);
	EXPECT_STREQ(seam_catalog_workspace_by_key(c, "k2")->name, "v");
	seam_catalog_free(c);
}

// Guards against a configuration that replaces all keys with none.
TEST(Wire, TenantsMustBeAList)
{
	for (const char *tenants : {"null", "{}", "\"t\""}) {
		std::string text = std::string("{\"version\":9,\"routes\":[],"
					       "\"services\":[],"
					       "\"tenants\":") +
				   tenants + "}";

		EXPECT_EQ(seam_operator_catalog(text.c_str(), &e), nullptr)
			<< text;
	}
}

// Guards against a wave that waits for a VM named "(null)".
TEST(Wire, OddElementsOfAWaveAreIgnored)
{
	const std::string ours(SEAM_NAME_SIZE - 1, 'a');
	const std::string text =
		"{\"wave\":3,\"machines\":[null,7,{},\"\",\"" + ours +
		"b\",\"" + ours +
		"\",\"m-2\"],\"durationS\":9000000000000000000,"
		"\"cap\":4294967296}";
	seam_wave w;
	seam_time left = 0;

	ASSERT_EQ(seam_operator_wave(text.c_str(), &w, &left, &e), 0);
	ASSERT_EQ(w.vms, 2u);
	EXPECT_EQ(w.vm[0], ours);
	EXPECT_STREQ(w.vm[1], "m-2");
	EXPECT_EQ(w.at_once, 1);
	EXPECT_GT(left, 0);
	free(w.vm);
}
