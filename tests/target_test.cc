// Tests of connections to a target: each kind of failure has to be reported
// with what it proves about the run.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

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
	seam_handle h = SEAM_HANDLE_NONE;
	seam_err e = SEAM_ERR_INIT;
	seam_answer a = {};

	void SetUp() override
	{
		fake = seam_fake_target_new("vm-1", test_addr(20010).c_str(),
					    8);
		ASSERT_NE(fake, nullptr);
		ts = seam_targets_new(clock);
		use(20010);
	}

	void TearDown() override
	{
		seam_targets_free(ts);
		seam_fake_target_free(fake);
	}

	// Directs later requests to a target at @port.
	void use(int port)
	{
		seam_target_info t = {};

		snprintf(t.id, sizeof(t.id), "vm-%d", port);
		snprintf(t.addr, sizeof(t.addr), "%s:%d", test_host(), port);
		snprintf(t.dc, sizeof(t.dc), "a");
		snprintf(t.service, sizeof(t.service), "s");
		t.slots = 8;
		t.connections = 2;
		seam_targets_set(ts, nullptr, 0);
		seam_targets_set(ts, &t, 1);
		h = SEAM_HANDLE_NONE;
		seam_table_next(seam_targets_lock(ts), &h);
		seam_targets_unlock(ts);
	}

	void set(int delay, bool refuse, bool drop)
	{
		seam_fake_target_faults f = {};

		f.delay_ms = delay;
		f.refuse = refuse;
		f.drop = drop;
		seam_fake_target_set_faults(fake, &f);
	}

	int send(const char *method, const char *path, const std::string &body,
		 int ms)
	{
		seam_call c = {};
		seam_target_request s = {};

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

// Guards against a false "not run": it is reported only if the target
// refused the request or nothing was sent.
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

// Guards against an incomplete response that is reported as "not run", and
// against curl sending the request again.
TEST_F(Target, BrokenAnswerMayHaveRun)
{
	ASSERT_EQ(send("POST", "/warm", "b", 5000), 0) << e.text;
	set(0, false, true);
	EXPECT_EQ(send("POST", "/x", "b", 5000), -1);
	EXPECT_EQ(e.kind, SEAM_TARGET_FAILED);
	EXPECT_EQ(a.body, nullptr);
	EXPECT_EQ(seam_fake_target_path_runs(fake, "/x"), 1);
}

// Guards against a late response that is delivered to the next request: its
// connection must be closed.
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

// Server that answers the first request of each connection and closes the
// connection after reading the second, as a target that crashes during a run.
class ClosesSecond
{
      public:
	ClosesSecond(int port, bool stops)
	    : stops(stops), fd(socket(AF_INET, SOCK_STREAM, 0))
	{
		int one = 1;
		sockaddr_in a = {};

		a.sin_family = AF_INET;
		a.sin_port = htons((uint16_t)port);
		inet_pton(AF_INET, test_host(), &a.sin_addr);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		ok = !bind(fd, (sockaddr *)&a, sizeof(a)) && !listen(fd, 4);
		thread = std::thread(&ClosesSecond::serve, this);
	}
	~ClosesSecond()
	{
		shutdown(fd, SHUT_RDWR);
		thread.join();
		close(fd);
	}
	std::atomic<int> requests{0};
	bool ok;

      private:
	bool read_request(int c)
	{
		std::string got;
		char b[4096];
		ssize_t n;

		// The body "b" is the last byte of each request.
		while ((n = recv(c, b, sizeof(b), 0)) > 0) {
			got.append(b, (size_t)n);
			if (got.find("\r\n\r\nb") != std::string::npos)
				return ++requests;
		}
		return false;
	}
	void serve()
	{
		const char ok_text[] =
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
		timeval wait = {2, 0};
		int c;

		while ((c = accept(fd, nullptr, nullptr)) >= 0) {
			setsockopt(c, SOL_SOCKET, SO_RCVTIMEO, &wait,
				   sizeof(wait));
			if (read_request(c)) {
				send(c, ok_text, sizeof(ok_text) - 1, 0);
				if (read_request(c) && stops)
					shutdown(fd, SHUT_RDWR);
			}
			close(c);
		}
	}
	bool stops; // accepts no connection after the second request
	int fd;
	std::thread thread;
};

// Guards against a request that runs twice: curl sends it again if a reused
// connection closes before any byte of the response.
TEST_F(Target, ClosedConnectionIsNotSentAgain)
{
	ClosesSecond server(20011, false);

	ASSERT_TRUE(server.ok);
	use(20011);
	ASSERT_EQ(send("POST", "/one", "b", 5000), 0) << e.text;
	EXPECT_EQ(send("POST", "/two", "b", 5000), -1);
	EXPECT_EQ(e.kind, SEAM_TARGET_FAILED);
	EXPECT_EQ(server.requests, 2);
}

// Guards against a false "not run" if the request was read, but the last
// failure was a refused connect.
TEST_F(Target, ConnectRefusedAfterTheSendIsNotNotRun)
{
	for (const char *method : {"POST", "GET"}) {
		ClosesSecond server(20011, true);

		ASSERT_TRUE(server.ok);
		use(20011);
		ASSERT_EQ(send(method, "/one", "b", 5000), 0) << e.text;
		EXPECT_EQ(send(method, "/two", "b", 5000), -1);
		EXPECT_EQ(e.kind, SEAM_TARGET_FAILED);
		EXPECT_EQ(server.requests, 2);
	}
}

// Guards against sending to a target that was removed from the list.
TEST_F(Target, RemovedTargetIsNotFound)
{
	seam_targets_set(ts, nullptr, 0);
	EXPECT_EQ(send("GET", "/x", "", 1000), -1);
	EXPECT_EQ(e.kind, SEAM_NOT_FOUND);
}
