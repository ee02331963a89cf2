#ifndef SEAM_TESTS_ONCE_FIXTURE_H
#define SEAM_TESTS_ONCE_FIXTURE_H

// Two nodes that claim keys in one in-memory store, each over its own view.
#include <gtest/gtest.h>

#include <string>

#include "request/once.h"

static const seam_call_ops no_ops = {};

class Once : public ::testing::Test
{
      protected:
	seam_fake_clock fake;
	seam_clock *clock = &fake.clock;
	seam_store *store = nullptr;
	seam_store *view[2] = {};
	seam_once *node[2] = {};
	seam_err e = SEAM_ERR_INIT;

	virtual void pick_clock()
	{
		seam_fake_clock_init(&fake, 1000000LL * SEAM_SEC);
	}

	seam_once *make(int i, int writes = 0)
	{
		seam_once_settings s = {};

		snprintf(s.node, sizeof(s.node), "n%d", i);
		s.skew = 200 * SEAM_MSEC;
		s.writes_per_sec = writes;
		return seam_once_new(view[i], clock, &s);
	}

	void SetUp() override
	{
		pick_clock();
		store = seam_store_mem_new(clock);
		for (int i = 0; i < 2; i++) {
			view[i] = seam_store_mem_connect(store);
			node[i] = make(i);
		}
	}

	void TearDown() override
	{
		for (int i = 0; i < 2; i++) {
			seam_once_free(node[i]);
			seam_store_close(view[i]);
		}
		seam_store_close(store);
	}

	seam_once_claim name(const std::string &key,
			     const std::string &body = "b")
	{
		seam_once_claim c;
		seam_call call = {};

		call.ops = &no_ops;
		call.method = "POST";
		call.path = "/v1/services/s/x";
		call.query = "";
		call.body = (char *)body.data();
		call.len = body.size();
		EXPECT_EQ(seam_once_claim_init(&c, "t", key.c_str(), "s", &call,
					       &e),
			  0);
		return c;
	}

	seam_time in(int ms)
	{
		return seam_now(clock) + ms * SEAM_MSEC;
	}

	int begin(int i, seam_once_claim *c)
	{
		seam_err_clear(&e);
		return seam_once_begin(node[i], c, in(5000), &e);
	}

	void end_ok(int i, seam_once_claim *c, const std::string &body)
	{
		seam_answer a = {};

		a.status = 201;
		snprintf(a.type, sizeof(a.type), "text/plain");
		a.body = (char *)body.data();
		a.len = body.size();
		seam_once_end(node[i], c, 0, &a, nullptr);
		seam_once_claim_free(c);
	}

	void end_err(int i, seam_once_claim *c, seam_err_kind kind)
	{
		seam_err f = SEAM_ERR_INIT;

		seam_fail(&f, kind, nullptr);
		seam_once_end(node[i], c, -1, nullptr, &f);
		seam_once_claim_free(c);
	}

	/* Sends a request with the key: "RUN", the stored response, or the
	 * error. */
	std::string ask(int i, const std::string &key,
			const std::string &body = "b")
	{
		seam_once_claim c = name(key, body);
		seam_answer a = {};
		int rc = begin(i, &c);
		std::string out;

		if (rc == SEAM_ONCE_RUN) {
			out = "RUN";
			end_ok(i, &c, "later");
			return out;
		}
		if (rc == SEAM_ONCE_REPEAT) {
			seam_once_answer(&c, &a);
			out = std::to_string(a.status) + " " +
			      std::string(a.body, a.len);
			seam_answer_free(&a);
		} else {
			out = seam_err_kind_info(e.kind)->name;
		}
		seam_once_claim_free(&c);
		return out;
	}

	void faults(int i, bool down, int lose, int drop, seam_time delay = 0)
	{
		seam_store_faults f = {};

		f.down = down;
		f.lose_answers = lose;
		f.drop_commits = drop;
		f.delay = delay;
		f.seed = 7;
		seam_store_mem_set_faults(view[i], &f);
	}
};

#endif
