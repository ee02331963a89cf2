// seamctl tasks QUEUE against a running daemon.
#include <unistd.h>

#include "tests/node_fixture.h"

extern "C" {
#include "cmd/ctl.h"
}

class CtlTasks : public NodeFixture
{
      protected:
	std::string out;

	void SetUp() override
	{
		NodeFixture::SetUp();
		commit_change(
			store, clock,
			"{\"put\":[{\"kind\":\"pool\",\"object\":{\"name\":"
			"\"p\",\"kind\":\"tasks\"}},{\"kind\":\"queue\","
			"\"object\":{\"name\":\"q\",\"team\":\"t\",\"pool\":"
			"\"p\"}}]}",
			1);
		// The daemon polls the configuration each second.
		for (int i = 0; i < 100 && run("q") != CTL_DONE; i++)
			usleep(50000);
	}
	int run(std::string queue, bool json = false)
	{
		char command[] = "tasks";
		ctl a = {};

		a.client.url = url.c_str();
		a.client.key = "op";
		a.json = json;
		a.argv[0] = command;
		a.argv[1] = &queue[0];
		a.argc = 2;
		testing::internal::CaptureStdout();
		int rc = ctl_tasks(&a);
		out = testing::internal::GetCapturedStdout();
		return rc;
	}
};

// Guards against a list that ends after the first page, and against JSON output
// without --json.
TEST_F(CtlTasks, ListsAllPages)
{
	EXPECT_EQ(run("q"), CTL_DONE);
	EXPECT_EQ(out, "Queue q has no tasks.\n");
	for (int i = 0; i < 120; i++) {
		reply r = send("POST", url + "/v1/queues/q/tasks", "lender",
			       "{\"kind\":\"k\",\"cpu_milli\":100,"
			       "\"memory_mb\":10}");
		ASSERT_EQ(r.status, 202) << r.body;
	}
	EXPECT_EQ(run("q"), CTL_DONE);
	EXPECT_EQ(out.find("TASK "), 0u) << out;
	EXPECT_EQ(std::count(out.begin(), out.end(), '\n'), 121) << out;
	EXPECT_EQ(out.find('{'), std::string::npos) << out;
	EXPECT_EQ(run("q", true), CTL_DONE);
	json_object *o = json_tokener_parse(out.c_str());
	EXPECT_EQ(json_object_array_length(o), 120u);
	json_object_put(o);
	EXPECT_EQ(run("none"), CTL_REFUSED);
}
