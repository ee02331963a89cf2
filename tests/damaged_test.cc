// Mutation fuzzing of the parsers of external input. A parser refuses damaged
// input, or what it accepts is valid and can be read again. Reads out of bounds
// are found by the sanitizers of CI. SEAM_SEEDS sets the number of seeds.
#include <arpa/inet.h>
#include <sys/socket.h>

#include <cstdlib>
#include <functional>
#include <vector>

#include "connection/peer.h"
#include "connection/workerlink.h"
#include "process/pool.h"
#include "process/settings.h"
#include "process/task_impl.h"
#include "process/team.h"
#include "request/once.h"
#include "request/trace.h"
#include "tests/node_fixture.h"

static const int ROUNDS = 3000; // damaged inputs for each parser and seed

static uint64_t seeds()
{
	const char *s = getenv("SEAM_SEEDS");

	return s ? strtoull(s, nullptr, 10) : 2;
}

struct random_bytes {
	uint64_t state;

	uint64_t below(uint64_t n)
	{
		state = state * 6364136223846793005ull + 1442695040888963407ull;
		return (state >> 33) % n;
	}
};

// Makes one to four changes: flips a bit, truncates, deletes or repeats a part,
// inserts an extreme number or a byte that has a meaning in JSON or HTTP, or
// overwrites a part with one.
static std::string damage(const std::string &in, random_bytes &r)
{
	static const char *const parts[] = {"-1",   "9223372036854775808",
					    "1e99", "null",
					    "{",    "}",
					    "\"",   "[]",
					    "\\",   "\n",
					    "\r",   ",",
					    "\x80", "18446744073709551615"};
	std::string s = in;

	for (uint64_t n = 1 + r.below(4); n && !s.empty(); n--) {
		size_t at = r.below(s.size());
		size_t len = 1 + r.below(s.size() - at);

		switch (r.below(6)) {
		case 0:
			s[at] = (char)(s[at] ^ (1 << r.below(8)));
			break;
		case 1:
			s.resize(at);
			break;
		case 2:
			s.erase(at, len < 8 ? len : 8);
			break;
		case 3:
			s.insert(at, s.substr(at, len));
			break;
		case 4:
			s.insert(at, parts[r.below(14)]);
			break;
		default:
			s.replace(at, len < 4 ? len : 4, parts[r.below(14)]);
		}
	}
	return s;
}

// Parses each valid input and then damaged ones; @parser returns false if it
// refuses the input.
static void fuzz(const std::vector<std::string> &valid,
		 const std::function<bool(const std::string &)> &parser)
{
	int refused = 0;

	for (const std::string &s : valid)
		EXPECT_TRUE(parser(s)) << s;
	for (uint64_t seed = 1; seed <= seeds(); seed++) {
		random_bytes r = {seed};

		for (int i = 0; i < ROUNDS; i++)
			refused += !parser(
				damage(valid[r.below(valid.size())], r));
	}
	/* A parser that accepts every input validates nothing. */
	EXPECT_GT(refused, 0);
}

static std::string json_text(json_object *o)
{
	std::string s = json_object_to_json_string(o);

	json_object_put(o);
	return s;
}

// Guards against settings that are accepted with a value out of range.
TEST(Damaged, Settings)
{
	fuzz({"{\"node\":\"n\",\"data_centre\":\"a\",\"listen\":"
	      "\"127.0.0.1:1\",\"peer\":\"127.0.0.1:2\",\"store\":\"memory\","
	      "\"cluster_key\":\"c\",\"operator_sha256\":\"" +
	      std::string(64, 'a') + "\",\"threads\":128 /* many */}"},
	     [](const std::string &s) {
		     seam_problems p = {"f", nullptr, 0};
		     json_object *o = seam_json_parse(s.c_str(), &p);
		     seam_settings set;
		     bool ok;

		     seam_settings_default(&set);
		     ok = o && !seam_settings_read(o, &set, &p);
		     EXPECT_EQ(ok, p.n == 0) << s;
		     if (ok) {
			     EXPECT_GT(set.threads, 0) << s;
			     EXPECT_STRNE(set.node, "") << s;
			     EXPECT_STRNE(set.listen, set.peer) << s;
		     }
		     seam_problems_free(&p);
		     json_object_put(o);
		     return ok;
	     });
}

// Guards against a configuration that is accepted by one node and refused by
// another one that reads it from the store.
TEST(Damaged, Configuration)
{
	fuzz({"{\"data_centres\":[{\"name\":\"a\",\"region\":\"r\"}],"
	      "\"pools\":[{\"name\":\"web\",\"kind\":\"service\",\"min\":2},"
	      "{\"name\":\"batch\",\"kind\":\"tasks\",\"budget\":3}],"
	      "\"services\":[{\"name\":\"s\",\"pool\":\"web\",\"teams\":"
	      "[\"t\"]}],\"teams\":[{\"name\":\"t\",\"limit\":5}],"
	      "\"queues\":[{\"name\":\"q\",\"team\":\"t\",\"pool\":"
	      "\"batch\"}]}"},
	     [](const std::string &s) {
		     seam_problems p = {"f", nullptr, 0};
		     json_object *o = seam_json_parse(s.c_str(), &p);
		     seam_conf *c = o ? seam_conf_parse(o, 1, &p) : nullptr;
		     bool ok = c != nullptr;

		     EXPECT_EQ(ok, p.n == 0) << s;
		     if (ok) {
			     json_object *again = seam_conf_to_json(c);
			     seam_conf *d = seam_conf_parse(again, 1, &p);

			     EXPECT_NE(d, nullptr) << s;
			     seam_conf_unref(d);
			     json_object_put(again);
		     }
		     seam_conf_unref(c);
		     seam_problems_free(&p);
		     json_object_put(o);
		     return ok;
	     });
}

// Guards against a damaged team row that grants more than its ceiling.
TEST(Damaged, TeamRow)
{
	seam_ledger l = {};
	seam_grant g[2] = {};
	seam_err e = SEAM_ERR_INIT;

	snprintf(l.team, sizeof(l.team), "t");
	l.limit = l.ceiling = 10;
	l.grant = g;
	l.n = 2;
	for (int i = 0; i < 2; i++) {
		snprintf(g[i].holder, sizeof(g[i].holder), "node:n%d#1", i);
		snprintf(g[i].dc, sizeof(g[i].dc), "a");
		g[i].units = 4;
	}
	std::string valid = json_text(seam_ledger_to_json(&l));
	fuzz({valid}, [&](const std::string &s) {
		seam_row row = {};
		seam_ledger got = {};
		bool ok;

		row.data = (char *)s.c_str();
		row.len = s.size();
		row.version = 1;
		seam_err_clear(&e);
		ok = !seam_ledger_parse(&row, "t", &got, &e);
		if (ok) {
			EXPECT_EQ(seam_ledger_check(&got, &e), 0) << s;
			EXPECT_LE(seam_ledger_granted(&got), got.ceiling) << s;
		} else {
			EXPECT_EQ(e.kind, SEAM_INTERNAL) << s;
		}
		seam_ledger_free(&got);
		return ok;
	});
}

// Guards against a damaged pool row that is accepted with a member twice or out
// of order: a VM that is counted twice could break the availability budget.
TEST(Damaged, PoolRow)
{
	seam_pool_row r = {};
	seam_err e = SEAM_ERR_INIT;

	snprintf(r.name, sizeof(r.name), "web");
	for (const char *vm : {"vm-1", "vm-2", "vm-3"}) {
		seam_pool_vm m = {};

		snprintf(m.vm, sizeof(m.vm), "%s", vm);
		snprintf(m.dc, sizeof(m.dc), "a");
		ASSERT_NE(seam_pool_add(&r, &m), nullptr);
	}
	char *text = seam_pool_row_write(&r);
	fuzz({text}, [&](const std::string &s) {
		seam_pool_row got = {};
		bool ok;

		seam_err_clear(&e);
		ok = !seam_pool_row_read(s.c_str(), &got, &e);
		for (size_t i = 0; ok && i + 1 < got.n; i++)
			EXPECT_LT(
				strcmp(got.member[i].vm, got.member[i + 1].vm),
				0)
				<< s;
		seam_pool_row_free(&got);
		return ok;
	});
	free(text);
	seam_pool_row_free(&r);
}

// Guards against a damaged claim that is read as one that may run again.
TEST(Damaged, ClaimRow)
{
	seam_once_row r = {};
	seam_err e = SEAM_ERR_INIT;

	r.state = SEAM_ONCE_CLAIMED;
	r.claim = 77;
	snprintf(r.node, sizeof(r.node), "n1");
	r.deadline = 1000000;
	r.expires = 2000000;
	memset(r.request, 'b', SEAM_SHA256_HEX_SIZE - 1);
	char *text = seam_once_row_write(&r);
	fuzz({text}, [&](const std::string &s) {
		seam_once_row got = {};
		bool ok;

		seam_err_clear(&e);
		ok = !seam_once_row_read(s.c_str(), &got, &e);
		if (ok) {
			EXPECT_LT((unsigned)got.state,
				  (unsigned)SEAM_ONCE_STATES)
				<< s;
		} else {
			EXPECT_EQ(e.kind, SEAM_INTERNAL) << s;
		}
		seam_answer_free(&got.answer);
		return ok;
	});
	free(text);
}

// Guards against a worker report with a state out of range.
TEST(Damaged, WorkerReport)
{
	seam_worker_report w = {};

	snprintf(w.task, sizeof(w.task), "t~q~0~1");
	std::string valid = json_text(seam_worker_report_to_json(&w));
	fuzz({valid}, [](const std::string &s) {
		json_object *o = json_tokener_parse(s.c_str());
		seam_worker_report got = {};
		bool ok = !seam_worker_report_parse(o, &got);

		if (ok) {
			EXPECT_NE(seam_attempt_state_name(got.attempt_state),
				  nullptr)
				<< s;
		}
		json_object_put(o);
		return ok;
	});
}

// Guards against a message that is accepted with a wrong MAC, and against a
// malformed body with a right MAC that is not refused.
TEST(Damaged, PeerMessage)
{
	seam_msg m = {};
	seam_msg_key key;
	seam_err e = SEAM_ERR_INIT;
	char body[] = "{\"put\":[]}";
	size_t len;

	snprintf(m.from, sizeof(m.from), "n1");
	m.inc = 5;
	m.seq = 9;
	m.kind = SEAM_MSG_CHANGE;
	m.text = body;
	seam_msg_key_init(&key, "key");
	char *bytes = seam_msg_seal(&key, "a:1", &m, &len);
	const std::string sealed(bytes, len);

	free(bytes);
	fuzz({sealed}, [&](const std::string &s) {
		seam_msg got = {};
		bool ok = !seam_msg_open(&key, "a:1", s.data(), s.size(), &got,
					 &e);

		EXPECT_EQ(ok, s == sealed);
		if (ok)
			seam_msg_free(&got);
		seam_err_clear(&e);
		return ok;
	});
	fuzz({sealed.substr(SEAM_MSG_MAC_BYTES)}, [&](const std::string &s) {
		seam_msg got = {};
		bool ok = !seam_msg_decode(s.data(), s.size(), &got, &e);

		if (ok) {
			EXPECT_LT((unsigned)got.kind, (unsigned)SEAM_MSG_KINDS);
			seam_msg_free(&got);
		}
		seam_err_clear(&e);
		return ok;
	});
}

// Guards against a malformed trace context that is propagated.
TEST(Damaged, TraceParent)
{
	const std::string valid =
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

	fuzz({valid}, [](const std::string &s) {
		char out[SEAM_TRACEPARENT_LEN];
		seam_trace t;

		seam_trace_start(&t, s.c_str());
		seam_trace_header(&t, out);
		EXPECT_EQ(strlen(out), (size_t)SEAM_TRACEPARENT_LEN - 1);
		return !strncmp(out + 3, s.c_str() + 3, 32);
	});
}

class DamagedRequest : public NodeFixture
{
      protected:
	std::string exchange(const std::string &bytes)
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		timeval wait = {0, 200000};
		sockaddr_in a = {};
		std::string got;
		char b[4096];
		ssize_t n;

		a.sin_family = AF_INET;
		a.sin_port = htons(18480);
		inet_pton(AF_INET, test_host(), &a.sin_addr);
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
		if (!connect(fd, (sockaddr *)&a, sizeof(a))) {
			::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
			shutdown(fd, SHUT_WR);
			while ((n = recv(fd, b, sizeof(b), 0)) > 0)
				got.append(b, (size_t)n);
		}
		close(fd);
		return got;
	}
};

// Guards against a front end that stops serving after malformed requests.
TEST_F(DamagedRequest, NodeKeepsServing)
{
	const std::string valid =
		"POST /v1/services/s/x HTTP/1.1\r\nHost: n\r\n"
		"Authorization: Bearer lender\r\nIdempotency-Key: k1\r\n"
		"X-Request-Timeout-Ms: 500\r\nContent-Length: 3\r\n"
		"Connection: close\r\n\r\nabc";
	random_bytes r = {1};

	EXPECT_NE(exchange(valid).find("HTTP/1.1 200"), std::string::npos);
	for (int i = 0; i < 100; i++)
		exchange(damage(valid, r));
	EXPECT_EQ(send("GET", url + "/v1/services/s/x", "lender", "").status,
		  200);
}
