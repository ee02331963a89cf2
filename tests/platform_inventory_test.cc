// Tests of the client of the platform's VM service.
#include <gtest/gtest.h>
#include <civetweb.h>

#include <cstdlib>
#include <map>
#include <mutex>
#include <string>

#include "platform/inventory.h"
#include "tests/addr.h"
#include "tests/scripted_server.h"

// Answers GET /machines with one body.
struct VmServer {
	std::mutex lock;
	std::string body;
	mg_context *ctx = nullptr;

	explicit VmServer(const std::string &addr)
	{
		const char *options[] = {"listening_ports", addr.c_str(),
					 "num_threads", "2", nullptr};
		mg_callbacks callbacks = {};

		mg_init_library(0);
		ctx = mg_start(&callbacks, this, options);
		if (ctx)
			mg_set_request_handler(ctx, "/machines", serve, this);
	}
	~VmServer()
	{
		mg_stop(ctx);
		mg_exit_library();
	}
	static int serve(mg_connection *c, void *arg)
	{
		VmServer *s = (VmServer *)arg;
		std::lock_guard<std::mutex> l(s->lock);

		mg_printf(c, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
			  s->body.size(), s->body.c_str());
		return 200;
	}
};

struct Inventory : ::testing::Test {
	VmServer server{test_addr(26020)};
	seam_clock *k = seam_clock_boot();
	seam_inventory *v =
		seam_inventory_new(k, test_url(26020).c_str(), "n1");
	seam_err e = SEAM_ERR_INIT;
	bool complete = false; // the latest list
	std::string token; // member of the next list that refers to a page

	~Inventory() override
	{
		v->ops->close(v);
	}
	// Returns the VMs of a list with these elements.
	std::map<std::string, seam_vm_info> list(const std::string &elements)
	{
		std::map<std::string, seam_vm_info> all;
		seam_vm_info *vm = nullptr;
		size_t n = 0;

		complete = false;
		{
			std::lock_guard<std::mutex> l(server.lock);
			server.body = "{\"machines\":[" + elements + "]" +
				      token + "}";
		}
		EXPECT_EQ(v->ops->list(v, &vm, &n, &complete,
				       seam_now(k) + 2 * SEAM_SEC, &e),
			  0)
			<< e.text;
		for (size_t i = 0; i < n; i++)
			all[vm[i].vm] = vm[i];
		EXPECT_EQ(all.size(), n);
		free(vm);
		return all;
	}
};

static std::string vm(const std::string &name, const std::string &pool = "p",
		      const std::string &zone = "z",
		      const std::string &id = "i-1")
{
	return "{\"machine\":\"" + name + "\",\"pool\":\"" + pool +
	       "\",\"state\":\"up\",\"zone\":\"" + zone + "\",\"id\":\"" + id +
	       "\"}";
}

// Guards against a VM in a state of a later version that counts as empty.
TEST_F(Inventory, OnlyNamedStatesAreKnown)
{
	auto state = [&](const std::string &text) {
		return list("{\"machine\":\"m-1\"" + text + "}")["m-1"].state;
	};

	EXPECT_EQ(state(",\"state\":\"up\""), SEAM_PHASE_UP);
	EXPECT_TRUE(complete);
	EXPECT_EQ(state(",\"state\":\"moving\""), SEAM_PHASE_MOVING);
	EXPECT_EQ(state(",\"state\":\"upkeep\""), SEAM_PHASE_MAINTENANCE);
	EXPECT_EQ(state(",\"state\":\"down\""), SEAM_PHASE_DOWN);
	EXPECT_EQ(state(",\"state\":\"paused\""), SEAM_PHASE_UNKNOWN);
	EXPECT_EQ(state(",\"state\":7"), SEAM_PHASE_UNKNOWN);
	EXPECT_EQ(state(""), SEAM_PHASE_UNKNOWN);
}

// Guards against a VM whose labels are not known, so that no pool gets it.
TEST_F(Inventory, LabelsAreRead)
{
	auto m = list(
		"{\"machine\":\"m-1\",\"labels\":[\"big\",\"r1\"]}")["m-1"];

	ASSERT_EQ(m.labels, 2);
	EXPECT_STREQ(m.label[0], "big");
	EXPECT_STREQ(m.label[1], "r1");
	EXPECT_TRUE(complete);
	EXPECT_TRUE(list("{\"machine\":\"m-1\",\"labels\":7}").empty());
	EXPECT_FALSE(complete);
}

// Guards against a page that is asked for again and again with a cut token.
TEST_F(Inventory, TokenThatDoesNotFitEndsAnIncompleteList)
{
	for (const std::string &odd :
	     {std::string("a\\u0000b"), std::string(300, 't')}) {
		token = ",\"nextToken\":\"" + odd + "\"";
		EXPECT_EQ(list(vm("m-1")).size(), 1u) << odd;
		EXPECT_FALSE(complete) << odd;
	}
}

// Guards against an order for another VM, whose name equals one that was cut.
TEST_F(Inventory, OddElementsAreLeftOut)
{
	const std::string longest(63, 'm');
	const std::string too_long = longest + "m";

	for (const std::string &odd :
	     {vm(too_long), vm(""), vm("m-9", too_long),
	      vm("m-9", "p", too_long), vm("m-9", "p", "z", too_long),
	      vm("a\\u0000b"), vm("m-9", "a\\nb"), std::string("null"),
	      std::string("7"), std::string("[[]]"), std::string("\"m-9\""),
	      std::string("{}"), std::string("{\"machine\":7}"),
	      std::string("{\"machine\":\"m-9\",\"pool\":[]}")}) {
		auto all = list(vm("m-1") + "," + odd + "," + vm(longest));
		EXPECT_FALSE(complete) << odd;

		EXPECT_EQ(all.size(), 2u) << odd;
		EXPECT_EQ(all.count("m-1"), 1u);
		EXPECT_STREQ(all[longest].pool, "p");
		EXPECT_STREQ(all[longest].worker, "i-1");
	}
	/* A VM that is off has no worker. */
	EXPECT_EQ(list("{\"machine\":\"m-2\",\"pool\":\"p\","
		       "\"state\":\"down\",\"zone\":\"z\"}")
			  .size(),
		  1u);
}

// Guards against a refusal that hides an order for a VM without an answer.
TEST(InventoryConnection, OrderOnAClosedConnectionIsNotRepeatedUnseen)
{
	ScriptedServer server(
		{{200, "{}"}, {0, ""}, {409, "{\"reason\":\"busy\"}"}});
	seam_clock *k = seam_clock_boot();
	seam_inventory *v =
		seam_inventory_new(k, ("http://" + server.addr).c_str(), "n1");
	enum seam_vm_order_outcome outcome = SEAM_VM_DONE;
	seam_err e = SEAM_ERR_INIT;

	for (int rc : {0, -1})
		EXPECT_EQ(v->ops->move(v, "m-1", "p", 1, &outcome,
				       seam_now(k) + SEAM_SEC, &e),
			  rc);
	EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN);
	v->ops->close(v);
}

// Guards against an odd answer that counts as a refusal of an order.
TEST(InventoryConnection, AnswerOfNoKnownMeaningIsNoRefusal)
{
	const std::pair<ScriptedServer::Answer, int> all[] = {
		{{500, ""}, -1},
		{{502, "{}"}, -1},
		{{504, "{}"}, -1},
		{{409, ""}, -1},
		{{409, "{\"reason\":\"other\"}"}, -1},
		{{409, "{\"reason\":\"busy\"}"}, SEAM_VM_BUSY},
		{{409, "{\"reason\":\"wave\"}"}, SEAM_VM_WRONG_WAVE},
		{{409, "{\"reason\":\"fence\"}"}, SEAM_VM_FENCED},
		{{400, ""}, SEAM_VM_INVALID},
		{{429, ""}, SEAM_VM_THROTTLED},
		{{503, ""}, SEAM_VM_THROTTLED}};
	seam_clock *k = seam_clock_boot();

	for (auto &a : all) {
		ScriptedServer server({a.first});
		seam_inventory *v = seam_inventory_new(
			k, ("http://" + server.addr).c_str(), "n1");
		enum seam_vm_order_outcome outcome = SEAM_VM_DONE;
		seam_err e = SEAM_ERR_INIT;
		int rc = v->ops->move(v, "m-1", "p", 1, &outcome,
				      seam_now(k) + SEAM_SEC, &e);

		EXPECT_EQ(rc, a.second < 0 ? -1 : 0) << a.first.status;
		EXPECT_EQ(e.kind, rc ? SEAM_COMMIT_UNKNOWN : SEAM_OK);
		if (!rc) {
			EXPECT_EQ((int)outcome, a.second) << a.first.status;
		}
		v->ops->close(v);
	}
}
