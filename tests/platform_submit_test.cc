// Tests of the HTTP front end for jobs: its answers to callers must be true.
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
		submit.store_unreachable = [](seam_store *) {
			return store_lost;
		};
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
	// Sends raw bytes and reads until the connection is closed.
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

// Guards against wrong states or status codes in the life cycle of a job.
TEST_F(Front, AcceptShowCancel)
{
	EXPECT_EQ(call("GET", ID).status, 410);
	EXPECT_EQ(call("DELETE", "1123456789abcdef").status, 410);
	EXPECT_EQ(call("POST", ID, body).status, 200);
	EXPECT_NE(w.state(ID), "");
	EXPECT_TRUE(call("GET", ID).has("\"queued\""));
	EXPECT_EQ(call("DELETE", ID).status, 200);
	EXPECT_TRUE(call("GET", ID).has("\"cancelled\""));
}

// Guards against a job that starts again because its caller sent it again, also
// after it has ended.
TEST_F(Front, RepeatedJob)
{
	EXPECT_EQ(call("POST", ID, body).status, 200);
	EXPECT_EQ(call("DELETE", ID).status, 200);
	EXPECT_EQ(call("POST", ID, body).status, 200);
	EXPECT_EQ(w.state(ID), "cancelled");
}

// Guards against a job that is stored late, after its cancel was acknowledged.
TEST_F(Front, LateJobDoesNotRunAfterItsCancel)
{
	std::atomic<bool> late{true};
	w.store.set_lateness([&](const seam_commit *c) -> seam_time {
		return late && !strncmp(c->write[0].key, "job/", 4) ?
			       SEAM_NEVER :
			       0;
	});
	EXPECT_EQ(call("POST", ID, body).status, 504);
	EXPECT_GE(w.store.kept_late(), 1u);
	late = false;
	EXPECT_EQ(call("DELETE", ID).status, 410);
	w.store.perform_late();
	EXPECT_EQ(w.state(ID), "");
	EXPECT_EQ(call("GET", ID).status, 410);
}

// Guards against a job that runs as its POST comes again after its DELETE.
TEST_F(Front, SubmissionAfterItsCancelIsRefused)
{
	EXPECT_EQ(call("DELETE", ID).status, 410);
	for (int i = 0; i < 2; i++) {
		reply r = call("POST", ID, body);
		EXPECT_EQ(r.status, 503);
		EXPECT_TRUE(r.has("cancelled")) << r.body;
		EXPECT_EQ(w.state(ID), "");
	}
	EXPECT_EQ(call("DELETE", ID).status, 410);
	EXPECT_EQ(call("POST", "1123456789abcdef", body).status, 200);
}

// Guards against a cancel that is answered before its row is stored.
TEST_F(Front, EarlyCancelWithoutAnAnswerIsNotAcknowledged)
{
	w.store.hold_rows("cancelled/");
	EXPECT_EQ(call("DELETE", ID).status, 504);
	w.store.hold_rows("");
	EXPECT_EQ(call("DELETE", ID).status, 410);
	EXPECT_EQ(call("POST", ID, body).status, 503);
}

// Guards against callers that fill the store with cancels of unknown jobs.
TEST_F(Front, CancelsOfUnknownJobsAreLimited)
{
	int acknowledged = 0;
	int limited = 0;
	char id[32];

	EXPECT_EQ(call("DELETE", "nothex").status, 410);
	EXPECT_EQ(call("DELETE", "0123456789ABCDEF").status, 410);
	EXPECT_EQ(w.store.rows_under("cancelled/"), 0u);
	for (int i = 0; i < 200; i++) {
		snprintf(id, sizeof(id), "%016x", i);
		long status = call("DELETE", id).status;
		acknowledged += status == 410;
		limited += status == 429;
	}
	EXPECT_EQ(acknowledged + limited, 200);
	EXPECT_GE(acknowledged, 100);
	EXPECT_GT(limited, 0);
	EXPECT_EQ(w.store.rows_under("cancelled/"), (size_t)acknowledged);
}

// Queues "q" and "r" need a key, "o" is open; workspaces "w" and "v".
static seam_catalog_cell several_queues()
{
	seam_catalog *c = (seam_catalog *)calloc(1, sizeof(*c));
	const char *const queues[] = {"q", "r", "o"};
	const char *const keys[] = {"key", "other"};

	c->version = 1;
	c->queue = (seam_job_queue *)calloc(3, sizeof(*c->queue));
	for (const char *name : queues) {
		seam_job_queue *q = &c->queue[c->queues++];

		snprintf(q->name, SEAM_NAME_SIZE, "%s", name);
		snprintf(q->pool, SEAM_NAME_SIZE, "p");
		snprintf(q->prefix, sizeof(q->prefix), "/%s/", name);
		snprintf(q->host, sizeof(q->host), "host");
		q->attempts = 3;
		q->open = *name == 'o';
	}
	c->workspace = (seam_job_workspace *)calloc(2, sizeof(*c->workspace));
	for (const char *key : keys) {
		seam_job_workspace *w = &c->workspace[c->workspaces++];

		snprintf(w->name, SEAM_NAME_SIZE, "%s-workspace", key);
		w->key = (char(*)[SEAM_NAME_SIZE])calloc(1, SEAM_NAME_SIZE);
		w->keys = 1;
		snprintf(w->key[0], SEAM_NAME_SIZE, "%s", key);
	}
	return {c};
}

struct Caller {
	const char *queue;
	const char *key;
};

struct FrontOwners : Front {
	seam_catalog_cell catalog = several_queues();
	const std::vector<Caller> callers = {
		{"q", "key"}, {"q", "other"}, {"r", "key"}, {"r", "other"},
		{"o", "key"}, {"o", "other"}, {"o", "none"}};

	FrontOwners()
	{
		submit.catalog = &catalog;
	}
	~FrontOwners() override
	{
		seam_http_free(h);
		h = seam_http_new(w.clock);
		seam_catalog_free(catalog.now);
	}
	long status(const Caller &c, const char *method,
		    const std::string &id = ID)
	{
		return http(method, test_url(28010) + "/" + c.queue + "/" + id,
			    {"Host: host",
			     std::string("Authorization: Token ") + c.key,
			     "Monsoonseam-Deadline-Ms: 1500"},
			    strcmp(method, "POST") ? "" : body)
			.status;
	}
};

// Guards against calls that reach a job of another queue or workspace.
TEST_F(FrontOwners, JobBelongsToItsQueueAndWorkspace)
{
	for (size_t owner = 0; owner < callers.size(); owner++) {
		char id[SEAM_JOB_ID_SIZE];

		snprintf(id, sizeof(id), "0%015zx", owner);
		ASSERT_EQ(status(callers[owner], "POST", id), 200);
		for (size_t i = 0; i < callers.size(); i++) {
			if (i == owner)
				continue;
			SCOPED_TRACE(std::string(callers[i].queue) + " " +
				     callers[i].key);
			EXPECT_EQ(status(callers[i], "GET", id), 410);
			EXPECT_EQ(status(callers[i], "DELETE", id), 410);
			EXPECT_EQ(status(callers[i], "POST", id), 409);
			EXPECT_EQ(w.state(id), "queued");
		}
		EXPECT_EQ(status(callers[owner], "GET", id), 200);
		EXPECT_EQ(status(callers[owner], "POST", id), 200);
		EXPECT_EQ(status(callers[owner], "DELETE", id), 200);
		EXPECT_EQ(w.state(id), "cancelled");
	}
	EXPECT_EQ(w.store.rows_under("cancelled/"), 0u);
}

// Guards against a cancel that keeps others from using the id.
TEST_F(FrontOwners, EarlyCancelConcernsItsQueueAndWorkspace)
{
	for (size_t i = 1; i < callers.size(); i++)
		EXPECT_EQ(status(callers[i], "DELETE"), 410);
	EXPECT_EQ(status(callers[0], "POST"), 200);
	EXPECT_EQ(w.state(ID), "queued");
}

// Guards against an answer to a repetition that was not compared with the row.
TEST_F(Front, RepetitionThatCannotBeReadIsUnknown)
{
	EXPECT_EQ(call("POST", ID, body).status, 200);
	w.store.fail_gets = 1;
	EXPECT_EQ(call("POST", ID, body).status, 504);
	EXPECT_EQ(call("POST", ID, body).status, 200);
}

// Guards against a text that is cut at U+0000, so that workers run another one.
TEST_F(Front, SpecWithNulIsStoredWhole)
{
	EXPECT_EQ(call("POST", ID,
		       "{\"spec\":\"a\\u0000--dry-run\",\"steps\":[{\"count\":"
		       "1}]}")
			  .status,
		  200);
	EXPECT_NE(w.store.get(std::string("job/0/") + ID)
			  .find("\"a\\u0000--dry-run\""),
		  std::string::npos);
}

// Guards against jobs that run with other counts, names or texts than sent.
TEST_F(Front, MembersThatCannotBeKeptAreRejected)
{
	const std::string name(64, 'r');
	const std::string steps[] = {
		"{\"count\":1.5}",
		"{\"count\":\"1\"}",
		"{\"count\":-1}",
		"{\"count\":18446744073709551617}",
		"{\"count\":9223372036854775807},{\"count\":9223372036854775807}",
		"{\"count\":9223372036854775806},{\"count\":3}",
		"{\"count\":1,\"count\":2}",
		"{\"count\":1,\"cpu\":\"500\"}",
		"{\"count\":1,\"memMb\":9223372036854775807}",
		"{\"count\":1,\"estimateMs\":31536000001}",
		"{\"count\":1,\"mayMiss\":-1}",
		"{\"count\":1,\"gang\":1}",
		"{\"count\":1,\"requirements\":7}",
		"{\"count\":1,\"requirements\":\"" + name + "\"}",
		"{\"count\":1,\"affinity\":\"r1\\u0000-3\"}",
		"{\"count\":1,\"image\":\"" + name + "\"}",
		"{\"count\":1},{\"count\":1,\"after\":0}",
		"{\"count\":1},{\"count\":1,\"after\":[\"0\"]}",
		"{\"count\":1},{\"count\":1,\"after\":[0.5]}",
		"{\"count\":1},{\"count\":1,\"after\":[64]}",
		"1",
	};
	const std::string texts[] = {"\\ud800", "\\udc00\\ud800", "\\ud83dx",
				     "\xff", "\xed\xa0\x80"};

	for (auto &s : steps) {
		EXPECT_EQ(call("POST", ID,
			       "{\"spec\":\"t\",\"steps\":[" + s + "]}")
				  .status,
			  400)
			<< s;
		EXPECT_EQ(w.state(ID), "") << s;
	}
	for (auto &s : texts)
		EXPECT_EQ(call("POST", ID,
			       "{\"spec\":\"" + s +
				       "\",\"steps\":[{\"count\":1}]}")
				  .status,
			  400)
			<< s;
	EXPECT_EQ(call("POST", ID, std::string(body) + "{}").status, 400);
	EXPECT_EQ(w.state(ID), "");
}

// Guards against a job that no store takes and whose caller tries again.
TEST_F(Front, JobWhoseRowIsTooLargeIsRejected)
{
	std::string name;
	std::string steps;

	for (int i = 0; i < 63; i++)
		name += "\\u0001";
	for (int i = 0; i < SEAM_STEPS_MAX; i++)
		steps += std::string(i ? "," : "") +
			 "{\"count\":1,\"requirements\":\"" + name +
			 "\",\"affinity\":\"" + name + "\",\"image\":\"" +
			 name + "\"}";
	reply r =
		call("POST", ID, "{\"spec\":\"t\",\"steps\":[" + steps + "]}");
	EXPECT_EQ(r.status, 400);
	EXPECT_TRUE(r.has("65519")) << r.body;
	EXPECT_EQ(w.store.commits, 0);
	EXPECT_EQ(w.state(ID), "");
}

// Guards against rejecting texts and names that can be kept whole.
TEST_F(Front, EscapesOfASpecAreRead)
{
	EXPECT_EQ(call("POST", ID,
		       "{\"spec\":\"\\ud83d\\ude00\\\\ud800\",\"steps\":[{"
		       "\"count\":1,\"image\":null,\"affinity\":\"" +
			       std::string(63, 'r') + "\"}]}")
			  .status,
		  200);
	EXPECT_NE(w.store.get(std::string("job/0/") + ID)
			  .find("\xf0\x9f\x98\x80\\\\ud800"),
		  std::string::npos);
}

// Guards against accepting an unknown key or an unknown route.
TEST_F(Front, KeysAndRoutes)
{
	EXPECT_EQ(call("POST", ID, body, "other").status, 401);
	EXPECT_EQ(w.state(ID), "");
	EXPECT_EQ(http("POST", test_url(28010) + "/none/" + ID,
		       {"Host: host", "Authorization: Token key"}, body)
			  .status,
		  404);
}

// Guards against a false "not run": 503 promises that a job never runs, so a
// commit that may have been applied without an answer is a 504.
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

// Guards against a job that is reported as refused although it was committed:
// the answer to its first commit was lost.
TEST_F(Front, LostAnswerIsAccepted)
{
	w.store.lose_answers = 1;
	EXPECT_EQ(call("POST", ID, body).status, 200);
	EXPECT_EQ(w.state(ID), "queued");
}

// Guards against a call that waits until its deadline although the store is
// known to be unreachable.
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

// Guards against accepting jobs that would never run because they need an
// unsupported feature.
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

// Guards against wrong counts of pending jobs.
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

// Guards against a connection that stays open after "Connection: close".
TEST_F(Front, ConnectionClose)
{
	std::string s = raw("GET /none HTTP/1.1\r\nHost: host\r\n"
			    "Connection: close\r\n\r\n");

	EXPECT_NE(s.find("Connection: close"), std::string::npos) << s;
	EXPECT_TRUE(ended);
}
