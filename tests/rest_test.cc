// The client of HTTP services with JSON.
#include <gtest/gtest.h>

#include <atomic>

#include "tests/addr.h"

#include "process/http.h"
#include "process/rest.h"

// A clock that jumps by a second after some looks, as on a VM that was
// suspended.
struct JumpingClock {
	seam_clock clock;
	std::atomic<int> looks{0};
	int jump_after = 1000000;
};

static seam_time jumping_now(seam_clock *k)
{
	JumpingClock *j = (JumpingClock *)k;
	seam_time now = seam_now(seam_clock_boot());

	return ++j->looks > j->jump_after ? now + SEAM_SEC : now;
}

static const seam_clock_ops jumping_ops = {jumping_now, nullptr};

static void count(seam_call *c, void *arg)
{
	++*(std::atomic<int> *)arg;
	seam_reply_text(c, 200, "application/json", "{}");
}

struct Rest : ::testing::Test {
	const std::string addr = test_addr(18650);
	std::atomic<int> requests{0};
	JumpingClock k;
	seam_http *h = seam_http_new(seam_clock_boot());
	seam_rest *r;
	seam_err e = SEAM_ERR_INIT;

	Rest()
	{
		k.clock.ops = &jumping_ops;
		r = seam_rest_new(&k.clock, ("http://" + addr).c_str());
		seam_http_route(h, "POST", "/order", count, &requests);
		EXPECT_EQ(seam_http_start(h, addr.c_str(), 2, &e), 0);
	}
	~Rest() override
	{
		seam_rest_free(r);
		seam_http_free(h);
	}
	int order()
	{
		seam_rest_call c = {};
		seam_rest_answer a;

		c.method = "POST";
		c.path = "/order";
		c.body = "{}";
		c.deadline = seam_now(&k.clock) + 500 * SEAM_MSEC;
		seam_err_clear(&e);
		int rc = seam_rest_do(r, &c, &a, &e);
		free(a.body);
		return rc;
	}
};

// Guards against an order of an owner that was suspended between the check of
// its term and the sending: a later owner had ordered by then.
TEST_F(Rest, RequestIsNotSentAfterItsDeadline)
{
	EXPECT_EQ(order(), 0);
	EXPECT_EQ(requests, 1);
	for (int looks = 1; looks <= 3; looks++) {
		k.looks = 0;
		k.jump_after = looks;
		EXPECT_EQ(order(), -1) << looks;
		EXPECT_EQ(e.kind, SEAM_UNAVAILABLE) << looks;
	}
	EXPECT_EQ(requests, 1);
}
