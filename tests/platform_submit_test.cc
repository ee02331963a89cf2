// The front end of jobs over HTTP: what callers are told is true.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include "platform/callers.h"
#include "process/http.h"
#include "tests/addr.h"
#include "tests/http.h"
#include "tests/world.h"

static bool store_lost;

struct Front : ::testing::Test {
	World w;
	seam_submit submit = {};
	seam_http *h = seam_http_new(w.clock);
	seam_err e = SEAM_ERR_INIT;
	const char *body = "{\"spec\":\"t\",\"steps\":[{\"count\":1}]}";

	Front()
	{
		store_lost = false;
		submit.front = &seam_platform_front;
		submit.clock = w.clock;
		submit.store = &w.store.base;
		submit.catalog = &w.ops.catalog;
		submit.lost = [](seam_store *) { return store_lost; };
		seam_http_route(h, "*", "/", seam_submit_serve, &submit);
		seam_http_start(h, test_addr(28010).c_str(), 4, &e);
	}
	~Front() override
	{
		seam_http_free(h);
	}
	reply call(const char *method, const std::string &id,
		   const std::string &text = "", const char *key = "key")
	{
		return http(method, test_url(28010) + "/q/" + id,
			    {"Host: host",
			     std::string("Authorization: Token ") + key,
			     "Monsoonseam-Deadline-Ms: 1500"},
			    text);
	}
	// Sends bytes as they are and reads until the connection ends.
	std::string raw(const std::string &bytes)
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in a = {};
		std::string got;
		char part[4096];
		ssize_t n = -1;
		timeval t = {2, 0};

		a.sin_family = AF_INET;
		a.sin_port = htons(28010);
		inet_pton(AF_INET, test_host(), &a.sin_addr);
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
		if (!connect(fd, (sockaddr *)&a, sizeof(a)) &&
		    write(fd, bytes.data(), bytes.size()) > 0)
			while ((n = read(fd, part, sizeof(part))) > 0)
				got.append(part, (size_t)n);
		ended = n == 0;
		close(fd);
		return got;
	}
	bool ended = false;
};

static const char *const ID = "0123456789abcdef";

// The life of a job as its caller sees it.
TEST_F(Front, AcceptShowCancel)
{
	EXPECT_EQ(call("GET", ID).status, 410);
	EXPECT_EQ(call("DELETE", ID).status, 410);
	EXPECT_EQ(call("POST", ID, body).status, 200);
	EXPECT_NE(w.state(ID), "");
	EXPECT_TRUE(call("GET", ID).has("\"queued\""));
	EXPECT_EQ(call("DELETE", ID).status, 200);
	EXPECT_TRUE(call("GET", ID).has("\"cancelled\""));
}

// Guards against a job that begins anew because its caller sent it again, also
// after it has ended.
TEST_F(Front, RepeatedJob)
{
	EXPECT_EQ(call("POST", ID, body).status, 200);
	EXPECT_EQ(call("DELETE", ID).status, 200);
	EXPECT_EQ(call("POST", ID, body).status, 200);
	EXPECT_EQ(w.state(ID), "cancelled");
}

// Guards the keys, and a route that is not there.
TEST_F(Front, KeysAndRoutes)
{
	EXPECT_EQ(call("POST", ID, body, "other").status, 401);
	EXPECT_EQ(w.state(ID), "");
	EXPECT_EQ(http("POST", test_url(28010) + "/none/" + ID,
		       {"Host: host", "Authorization: Token key"}, body)
			  .status,
		  404);
}

// Guards "not run": 503 states that a job never runs, so a commit without an
// answer that may have applied is a 504.
TEST_F(Front, UnknownOutcomeIsNoRefusal)
{
	w.store.hold_commits = 1000;
	EXPECT_EQ(call("POST", ID, body).status, 504);
	w.store.hold_commits = 0;
	w.store.refuse_commits = 1000;
	EXPECT_EQ(call("POST", ID, body).status, 503);
	w.store.refuse_commits = 0;
	EXPECT_EQ(w.state(ID), "");
}

// Guards a job whose first answer was lost: it is accepted, and told so.
TEST_F(Front, LostAnswerIsAccepted)
{
	w.store.lose_answers = 1;
	EXPECT_EQ(call("POST", ID, body).status, 200);
	EXPECT_EQ(w.state(ID), "queued");
}

// Guards against a call that waits for its deadline while the store is known to
// be away.
TEST_F(Front, RefusedAtOnceWithoutStore)
{
	seam_time begin = seam_now(w.clock);

	store_lost = true;
	EXPECT_EQ(call("POST", ID, body).status, 503);
	EXPECT_EQ(call("GET", ID).status, 503);
	EXPECT_LT(seam_now(w.clock) - begin, 500 * SEAM_MSEC);
	std::string s = raw(std::string("POST /q/") + ID +
			    " HTTP/1.1\r\nHost: host\r\nAuthorization: Token "
			    "key\r\nConnection: close\r\nContent-Length: 0\r\n"
			    "\r\n");
	EXPECT_NE(s.find("Retry-After: 1"), std::string::npos) << s;
}

// Guards against work that is taken and never done: what is not built is
// refused.
TEST_F(Front, UnsupportedIsRefused)
{
	EXPECT_EQ(call("POST", ID,
		       "{\"spec\":\"t\",\"steps\":[{\"count\":2,"
		       "\"gang\":true}]}")
			  .status,
		  503);
	EXPECT_EQ(call("POST", ID,
		       "{\"spec\":\"t\",\"repeatCount\":3,\"steps\":["
		       "{\"count\":2}]}")
			  .status,
		  503);
	EXPECT_EQ(call("POST", "nothex", body).status, 400);
	EXPECT_EQ(call("POST", ID, "{").status, 400);
	EXPECT_EQ(w.state(ID), "");
}

// Guards the counts of a queue.
TEST_F(Front, Pending)
{
	EXPECT_TRUE(call("GET", "").has("\"pending\":0"));
	w.store.put("board/pending", "{\"q\":12}");
	EXPECT_TRUE(call("GET", "").has("\"pending\":12"));
}

// Guards against request smuggling: a body with two lengths is refused, and the
// rest of the connection is not read as a request.
TEST_F(Front, TwoLengthsAreRefused)
{
	std::string head =
		std::string("POST /q/") + ID + " HTTP/1.1\r\nHost: host\r\n";

	std::string s = raw(head + "Content-Length: 2\r\nContent-Length: 40\r\n"
				   "\r\n{}GET /q/ HTTP/1.1\r\n\r\n");
	EXPECT_EQ(s.find("HTTP/1.1 400"), 0u) << s;
	EXPECT_EQ(s.find("HTTP/1.1", 5), std::string::npos) << s;
	EXPECT_TRUE(ended);
	s = raw(head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "0\r\n\r\n");
	EXPECT_EQ(s.find("HTTP/1.1 400"), 0u) << s;
	EXPECT_TRUE(ended);
}

// Guards callers that ask for the connection's end.
TEST_F(Front, ConnectionClose)
{
	std::string s = raw("GET /none HTTP/1.1\r\nHost: host\r\n"
			    "Connection: close\r\n\r\n");

	EXPECT_NE(s.find("Connection: close"), std::string::npos) << s;
	EXPECT_TRUE(ended);
}
