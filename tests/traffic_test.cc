#include <gtest/gtest.h>

#include <cstring>

#include "addr.h"
#include "base/traffic.h"
#include "process/http.h"
#include "process/rest.h"

namespace
{
const seam_traffic *find(const seam_traffic *t, size_t n, const char *name)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(t[i].name, name))
			return &t[i];
	return nullptr;
}

// Guards against kinds that keep counting what was logged before.
TEST(Traffic, SumsStartAnewWhenTaken)
{
	seam_traffic t[8];

	seam_traffic_take(t, 8);
	seam_traffic_add("/rows?table=job&after=1", 10, 200, 3 * SEAM_MSEC);
	seam_traffic_add("/rows?table=job&after=2", 10, 100, 0);
	seam_traffic_add("/rows?table=node", 1, 1, 0);
	ASSERT_EQ(seam_traffic_take(t, 8), 2u);
	const seam_traffic *job = find(t, 2, "/rows:job");
	ASSERT_NE(job, nullptr);
	EXPECT_EQ(job->calls, 2);
	EXPECT_EQ(job->sent, 20);
	EXPECT_EQ(job->received, 300);
	EXPECT_EQ(seam_traffic_take(t, 8), 0u);
}

// Guards against a line that names the smallest kinds and drops the largest.
TEST(Traffic, LargestKindsComeFirst)
{
	seam_traffic t[] = {{"/a", 1, 10, 0, 0}, {"/b", 2, 5, 500, 2000}};
	char text[24];

	seam_traffic_format(text, sizeof(text), t, 2);
	EXPECT_EQ(std::string(text).find("/b=2/5/500/2"), 0u) << text;
}

// Guards against an unbounded number of kinds when paths hold ids.
TEST(Traffic, FurtherKindsAreSummedUp)
{
	seam_traffic t[64];

	seam_traffic_take(t, 64);
	for (int i = 0; i < 100; i++)
		seam_traffic_add(("/x/" + std::to_string(i)).c_str(), 1, 0, 0);
	size_t n = seam_traffic_take(t, 64);
	EXPECT_LE(n, 32u);
	int64_t sent = 0;
	for (size_t i = 0; i < n; i++)
		sent += t[i].sent;
	EXPECT_EQ(sent, 100);
}

// Guards against bytes that are counted twice or not at all.
TEST(Traffic, CallsAreCountedWithTheirHeads)
{
	seam_http *h = seam_http_new(seam_clock_boot());
	seam_rest *r;
	seam_err e = SEAM_ERR_INIT;
	seam_traffic t[64];
	std::string body(1000, 'x');
	seam_rest_request c = {};
	seam_rest_response a;

	seam_http_route(
		h, "*", "/",
		[](seam_call *call, void *) {
			std::string text(3000, 'y');

			seam_reply_text(call, 200, "text/plain", text.c_str());
		},
		nullptr);
	ASSERT_EQ(seam_http_start(h, test_addr(28310).c_str(), 4, &e), 0);
	r = seam_rest_new(seam_clock_boot(), test_url(28310).c_str());
	seam_traffic_take(t, 64);
	c.method = "POST";
	c.path = "/x/1";
	c.body = body.c_str();
	c.deadline = seam_now(seam_clock_boot()) + SEAM_SEC;
	ASSERT_EQ(seam_rest_do(r, &c, &a, &e), 0) << e.text;
	free(a.body);
	ASSERT_EQ(seam_traffic_take(t, 64), 1u);
	EXPECT_GT(t[0].sent, 1000);
	EXPECT_LT(t[0].sent, 1400);
	EXPECT_GT(t[0].received, 3000);
	EXPECT_LT(t[0].received, 3400);
	seam_rest_free(r);
	seam_http_free(h);
}
} // namespace
