// HTTP client of JSON services.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "tests/addr.h"

#include "process/http.h"
#include "process/rest.h"

// A clock that jumps ahead by a second after @jump_after reads, as on a VM that
// was suspended.
struct JumpingClock {
	seam_clock clock;
	std::atomic<int> reads{0};
	int jump_after = 1000000;
};

static seam_time jumping_now(seam_clock *k)
{
	JumpingClock *j = (JumpingClock *)k;
	seam_time now = seam_now(seam_clock_boot());

	return ++j->reads > j->jump_after ? now + SEAM_SEC : now;
}

static const seam_clock_ops jumping_ops = {jumping_now, nullptr};

static void count_request(seam_call *c, void *arg)
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
		seam_http_route(h, "POST", "/order", count_request, &requests);
		EXPECT_EQ(seam_http_start(h, addr.c_str(), 2, &e), 0);
	}
	~Rest() override
	{
		seam_rest_free(r);
		seam_http_free(h);
	}
	int post_order()
	{
		seam_rest_request c = {};
		seam_rest_response a;

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

// Guards against a request that is sent after its deadline. An owner that is
// suspended between the check of its term and the send would give an order
// after the next owner has given its own.
TEST_F(Rest, RequestIsNotSentAfterItsDeadline)
{
	EXPECT_EQ(post_order(), 0);
	EXPECT_EQ(requests, 1);
	for (int reads = 1; reads <= 3; reads++) {
		k.reads = 0;
		k.jump_after = reads;
		EXPECT_EQ(post_order(), -1) << reads;
		EXPECT_EQ(e.kind, SEAM_UNAVAILABLE) << reads;
	}
	EXPECT_EQ(requests, 1);
}

// A server that accepts one connection and never responds.
struct SilentServer {
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	std::string url;
	int recv_errno = -1; // 0 if the client closed it without a reset
	std::thread thread;

	SilentServer()
	{
		sockaddr_in a = {};
		socklen_t len = sizeof(a);

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(fd, (sockaddr *)&a, sizeof(a)), 0);
		EXPECT_EQ(listen(fd, 1), 0);
		getsockname(fd, (sockaddr *)&a, &len);
		url = "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port));
		thread = std::thread([this] {
			char buf[1000];
			int c = accept(fd, nullptr, nullptr);
			ssize_t n;

			while ((n = recv(c, buf, sizeof(buf), 0)) > 0)
				;
			recv_errno = n ? errno : 0;
			close(c);
		});
	}
	void join()
	{
		thread.join();
		close(fd);
	}
};

// Guards against a request that arrives after its sender has timed out: a
// network partition had delayed it, and a later owner had given its own order
// before the partition healed.
TEST(RestTimeout, TimedOutRequestIsReset)
{
	SilentServer s;
	seam_err e = SEAM_ERR_INIT;
	seam_rest *r = seam_rest_new(seam_clock_boot(), s.url.c_str());
	seam_rest_request c = {};
	seam_rest_response a;

	c.method = "POST";
	c.path = "/order";
	c.body = "{}";
	c.deadline = seam_now(seam_clock_boot()) + 100 * SEAM_MSEC;
	EXPECT_EQ(seam_rest_do(r, &c, &a, &e), -1);
	EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN);
	s.join();
	/* After a reset, the network drops data that is not yet delivered. */
	EXPECT_EQ(s.recv_errno, ECONNRESET);
	seam_rest_free(r);
}
