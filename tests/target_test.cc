// Connections to one target: what each kind of failure says about the run.
#include <gtest/gtest.h>

#include <string>

#include "tests/addr.h"
#include "fake/fake.h"
#include "connection/target.h"

static const char *no_header(seam_call *, const char *)
{
	return nullptr;
}

static const seam_call_ops ops = {no_header, nullptr};

class Target : public ::testing::Test
{
      protected:
	seam_clock *clock = seam_clock_real();
	seam_targets *ts = nullptr;
	seam_fake_target *fake = nullptr;
	seam_handle h = SEAM_NONE;
	seam_err e = SEAM_ERR_INIT;
	seam_answer a = {};

	void SetUp() override
	{
		seam_target_info t = {};

		fake = seam_fake_target_new("vm-1", test_addr(20010).c_str(),
					    8);
		ASSERT_NE(fake, nullptr);
		ts = seam_targets_new(clock);
		snprintf(t.id, sizeof(t.id), "vm-1");
		snprintf(t.addr, sizeof(t.addr), "%s:20010", test_host());
		snprintf(t.dc, sizeof(t.dc), "a");
		snprintf(t.service, sizeof(t.service), "s");
		t.slots = 8;
		t.connections = 2;
		seam_targets_set(ts, &t, 1);
		seam_table_next(seam_targets_lock(ts), &h);
		seam_targets_unlock(ts);
	}

	void TearDown() override
	{
		seam_targets_free(ts);
		seam_fake_target_free(fake);
	}

	void set(int delay, bool refuse, bool drop)
	{
		seam_fake_target_faults f = {};

		f.delay_ms = delay;
		f.refuse = refuse;
		f.drop = drop;
		seam_fake_target_set(fake, &f);
	}

	int send(const char *method, const char *path, const std::string &body,
		 int ms)
	{
		seam_call c = {};
		seam_send s = {};

		c.ops = &ops;
		c.method = method;
		c.query = "";
		c.body = (char *)body.data();
		c.len = body.size();
		s.call = &c;
		s.path = path;
		s.deadline = seam_now(clock) + ms * SEAM_MSEC;
		s.idempotent = std::string(method) == "GET";
		seam_answer_free(&a);
		return seam_target_send(ts, h, &s, &a, &e);
	}
};

// Guards P7: "not run" only if the target said so or nothing was sent.
TEST_F(Target, RefusalsAreNotRun)
{
	set(0, true, false);
	EXPECT_EQ(send("POST", "/x", "b", 5000), -1);
	EXPECT_EQ(e.kind, SEAM_TARGET_REFUSED);
	EXPECT_EQ(a.status, 503);
	EXPECT_EQ(seam_fake_target_runs(fake), 0);
	seam_fake_target_free(fake);
	fake = nullptr;
	EXPECT_EQ(send("POST", "/x", "b", 5000), -1);
	EXPECT_EQ(e.kind, SEAM_TARGET_REFUSED);
	EXPECT_EQ(a.status, 0);
}

// Guards P7 and P8: a broken answer may have run, and curl does not repeat it.
TEST_F(Target, BrokenAnswerMayHaveRun)
{
	ASSERT_EQ(send("POST", "/warm", "b", 5000), 0) << e.text;
	set(0, false, true);
	EXPECT_EQ(send("POST", "/x", "b", 5000), -1);
	EXPECT_EQ(e.kind, SEAM_TARGET_FAILED);
	EXPECT_EQ(a.body, nullptr);
	EXPECT_EQ(seam_fake_target_path_runs(fake, "/x"), 1);
}

// Guards P6: a late answer dies with its connection; the next request gets
// its own.
TEST_F(Target, LateAnswerIsNotDeliveredToTheNext)
{
	set(300, false, false);
	EXPECT_EQ(send("GET", "/late", "", 100), -1);
	EXPECT_EQ(e.kind, SEAM_OUTCOME_UNKNOWN);
	set(0, false, false);
	for (int i = 0; i < 5; i++) {
		std::string path = "/own" + std::to_string(i);

		ASSERT_EQ(send("GET", path.c_str(), "", 5000), 0) << e.text;
		EXPECT_NE(std::string(a.body, a.len).find(path),
			  std::string::npos);
	}
	seam_answer_free(&a);
}

TEST_F(Target, GoneTargetIsNotFound)
{
	seam_targets_set(ts, nullptr, 0);
	EXPECT_EQ(send("GET", "/x", "", 1000), -1);
	EXPECT_EQ(e.kind, SEAM_NOT_FOUND);
}
