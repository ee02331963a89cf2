#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <dirent.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "addr.h"
#include "process/http.h"
#include "process/rest.h"

namespace
{
const int MAX = 64; // limit of connections of the server

// Threads of this process.
int threads()
{
	DIR *d = opendir("/proc/self/task");
	int n = 0;

	while (readdir(d))
		n++;
	closedir(d);
	return n - 2; // "." and ".."
}

bool until(int ms, bool (*cond)(int), int arg)
{
	for (; ms > 0 && !cond(arg); ms -= 10)
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
	return cond(arg);
}

void serve(seam_call *c, void *arg)
{
	int *delay_ms = (int *)arg;

	std::this_thread::sleep_for(std::chrono::milliseconds(*delay_ms));
	seam_reply_text(c, 200, "text/plain", c->path);
}

// Requests that run until the test releases them.
struct Gate {
	std::mutex lock;
	std::condition_variable changed;
	int begun = 0;
	bool open = false;

	// Whether @n requests have begun within @ms.
	bool wait_begun(int n, int ms)
	{
		std::unique_lock<std::mutex> l(lock);

		return changed.wait_for(l, std::chrono::milliseconds(ms),
					[this, n] { return begun >= n; });
	}

	int count()
	{
		std::lock_guard<std::mutex> l(lock);

		return begun;
	}

	void release()
	{
		std::lock_guard<std::mutex> l(lock);

		open = true;
		changed.notify_all();
	}
};

void serve_held(seam_call *c, void *arg)
{
	Gate *g = (Gate *)arg;
	std::unique_lock<std::mutex> l(g->lock);

	g->begun++;
	g->changed.notify_all();
	g->changed.wait(l, [g] { return g->open; });
	l.unlock();
	seam_reply_text(c, 200, "text/plain", c->path);
}

class Http : public testing::Test
{
      protected:
	std::string addr = test_addr(28300);
	seam_http *h = seam_http_new(seam_clock_boot());
	std::vector<int> sockets;
	int delay_ms = 0;
	Gate gate;

	void SetUp() override
	{
		seam_err e = SEAM_ERR_INIT;

		seam_http_route(h, "*", "/", serve, &delay_ms);
		seam_http_route(h, "*", "/held", serve_held, &gate);
		ASSERT_EQ(seam_http_start(h, addr.c_str(), MAX, &e), 0)
			<< e.text;
	}

	void TearDown() override
	{
		gate.release();
		for (int s : sockets)
			close(s);
		seam_http_free(h);
	}

	int open_connection()
	{
		size_t colon = addr.find(':');
		sockaddr_in sa = {};
		int s = socket(AF_INET, SOCK_STREAM, 0);

		sa.sin_family = AF_INET;
		sa.sin_port = htons((uint16_t)atoi(addr.c_str() + colon + 1));
		inet_pton(AF_INET, addr.substr(0, colon).c_str(), &sa.sin_addr);
		EXPECT_EQ(connect(s, (sockaddr *)&sa, sizeof(sa)), 0);
		sockets.push_back(s);
		return s;
	}

	static void request(int s, const std::string &path = "/a")
	{
		std::string text =
			"GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";

		EXPECT_EQ(send(s, text.data(), text.size(), MSG_NOSIGNAL),
			  (ssize_t)text.size());
	}

	// Status of the response, or 0 if none is complete within @ms.
	static int status(int s, int ms)
	{
		pollfd p = {s, POLLIN, 0};
		std::string text;
		char buf[1024];
		ssize_t n;

		while (text.find("\r\n\r\n") == std::string::npos) {
			if (poll(&p, 1, ms) != 1)
				return 0;
			n = recv(s, buf, sizeof(buf), 0);
			if (n <= 0)
				return 0;
			text.append(buf, (size_t)n);
		}
		return atoi(text.c_str() + strlen("HTTP/1.1 "));
	}
};

// Guards against threads that wait for callers who never come: 147 nodes with
// 500 threads each found no room on one machine.
TEST_F(Http, ThreadsComeAndGoWithConnections)
{
	int idle = threads();
	int i;

	for (i = 0; i < MAX / 2; i++) {
		request(open_connection());
		EXPECT_EQ(status(sockets.back(), 2000), 200);
	}
	EXPECT_LE(threads(), idle + MAX / 2);
	for (int s : sockets)
		close(s);
	sockets.clear();
	EXPECT_TRUE(until(
		3000, [](int n) { return threads() <= n; }, idle));
}

// Guards against the idle connections of 146 nodes at each of the others: in an
// outage of the store they took more than 30,000 threads.
TEST_F(Http, ClientOfOneOfManyKeepsOneConnection)
{
	seam_rest *r =
		seam_rest_new(seam_clock_boot(), ("http://" + addr).c_str());
	std::vector<std::thread> callers;
	int idle = threads();

	seam_rest_keep_one_connection(r);
	delay_ms = 200;
	for (int i = 0; i < 8; i++)
		callers.emplace_back([r] {
			seam_rest_request c = {};
			seam_rest_response a;
			seam_err e = SEAM_ERR_INIT;

			c.method = "GET";
			c.path = "/a";
			c.deadline = seam_now(seam_clock_boot()) + 3 * SEAM_SEC;
			EXPECT_EQ(seam_rest_do(r, &c, &a, &e), 0) << e.text;
			free(a.body);
		});
	for (std::thread &t : callers)
		t.join();
	EXPECT_TRUE(until(
		1000, [](int n) { return threads() <= n; }, idle + 1));
	seam_rest_free(r);
}

// Guards against connections without a request that keep callers out.
TEST_F(Http, SilentConnectionsDoNotKeepCallersOut)
{
	int round;
	int i;

	for (round = 0; round < 3; round++) {
		for (i = 0; i < MAX; i++) {
			open_connection();
			request(open_connection());
			EXPECT_EQ(status(sockets.back(), 2000), 200) << i;
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(250));
	}
}

// Guards against a request that is cut off to make room for another caller.
TEST_F(Http, RequestsThatRunAreNotCutOff)
{
	int i;

	delay_ms = 500;
	for (i = 0; i < MAX; i++)
		request(open_connection());
	for (i = 0; i < MAX; i++)
		open_connection();
	for (i = 0; i < MAX; i++)
		EXPECT_EQ(status(sockets[(size_t)i], 4000), 200) << i;
}

// Guards against callers beyond the limit that wait until their time is over,
// or whose connection ends without a response.
TEST_F(Http, RequestsBeyondTheLimitAreRefusedAtOnce)
{
	int i;

	for (i = 0; i < MAX; i++)
		request(open_connection(), "/held");
	ASSERT_TRUE(gate.wait_begun(MAX, 2000)) << gate.count();
	for (i = 0; i < MAX / 2; i++) {
		request(open_connection(), "/held");
		EXPECT_EQ(status(sockets.back(), 300), 503) << i;
	}
	EXPECT_EQ(gate.count(), MAX);
	gate.release();
	for (i = 0; i < MAX; i++)
		EXPECT_EQ(status(sockets[(size_t)i], 4000), 200) << i;
}
} // namespace
