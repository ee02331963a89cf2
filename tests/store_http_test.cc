// The HTTP clients of the table service and the VM list: encoding, and no
// malformed response is taken for an outcome.
#include <gtest/gtest.h>

#include <string>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/addr.h"
#include "fake/fake.h"
#include "process/store.h"
#include "tests/scripted_server.h"

static const std::string addr = test_addr(24010);

class StoreHttp : public ::testing::Test
{
      protected:
	seam_clock *k = seam_clock_real();
	seam_store *mem = seam_store_mem_new(k);
	seam_fake_platform *vms = seam_fake_platform_new(k);
	seam_fake_platform_http *server = seam_fake_platform_http_new(
		k, addr.c_str(), mem, seam_fake_platform_base(vms));
	seam_store *s = seam_store_http_new(k, test_url(24010).c_str());
	seam_err e = SEAM_ERR_INIT;

	~StoreHttp() override
	{
		seam_store_close(s);
		seam_fake_platform_http_free(server);
		seam_fake_platform_free(vms);
		seam_store_close(mem);
	}

	seam_time in(int ms)
	{
		return seam_now(k) + ms * SEAM_MSEC;
	}

	int put(const char *key, const std::string &data, uint64_t version,
		seam_time deadline)
	{
		seam_write w = {SEAM_PUT, key, version, data.data(),
				data.size()};
		seam_commit c = {&w, 1, seam_store_token(), 0};

		seam_err_clear(&e);
		return seam_store_commit(s, &c, deadline, &e);
	}
};

// Guards against bytes, versions or writers that the encoding loses.
TEST_F(StoreHttp, RowsRoundTrip)
{
	std::string data = "{\"a\":\"\\u00e9 \\\"quoted\\\"\",\"b\":[1]}\n";
	seam_row a = {};
	seam_row b = {};

	ASSERT_EQ(put("pool/a b%&?", data, SEAM_ABSENT, in(2000)), 0) << e.text;
	ASSERT_EQ(seam_store_get(s, "pool/a b%&?", &a, in(2000), &e), 0);
	ASSERT_EQ(seam_store_get(mem, "pool/a b%&?", &b, in(2000), &e), 0);
	EXPECT_EQ(std::string(a.data, a.len), data);
	EXPECT_EQ(a.version, b.version);
	EXPECT_EQ(a.writer, b.writer);
	seam_row_free(&a);
	seam_row_free(&b);
	EXPECT_EQ(seam_store_get(s, "pool/none", &a, in(2000), &e), -1);
	EXPECT_EQ(e.kind, SEAM_NOT_FOUND);
	EXPECT_EQ(put("pool/a b%&?", "x", SEAM_ABSENT, in(2000)), -1);
	EXPECT_EQ(e.kind, SEAM_CONFLICT);
}

// Guards against a scan that skips or repeats rows between its pages.
TEST_F(StoreHttp, ScanPages)
{
	seam_rows rows;

	for (int i = 0; i < 5; i++)
		ASSERT_EQ(put(("m/" + std::to_string(i)).c_str(), "{}",
			      SEAM_ABSENT, in(2000)),
			  0);
	ASSERT_EQ(seam_store_scan(s, "m/", nullptr, 3, &rows, in(2000), &e), 0);
	ASSERT_EQ(rows.n, 3u);
	EXPECT_TRUE(rows.more);
	seam_rows_free(&rows);
	ASSERT_EQ(seam_store_scan(s, "m/", "m/2", 9, &rows, in(2000), &e), 0);
	ASSERT_EQ(rows.n, 2u);
	EXPECT_STREQ(rows.row[0].key, "m/3");
	EXPECT_FALSE(rows.more);
	seam_rows_free(&rows);
}

// Guards against rows that are lost behind a page of a node of an old release.
TEST(StoreHttpRelease, FullPageOfAnEarlierOneIsNotTheLast)
{
	std::string page =
		"{\"version\":3,\"rows\":["
		"{\"key\":\"m/0\",\"writer\":\"1\",\"data\":\"x\"},"
		"{\"key\":\"m/1\",\"writer\":\"1\",\"data\":\"x\"}]}";
	ScriptedServer server({{200, page}, {200, page}});
	seam_clock *k = seam_clock_real();
	seam_store *s =
		seam_store_http_new(k, ("http://" + server.addr).c_str());
	seam_err e = SEAM_ERR_INIT;

	for (size_t max : {2, 3}) {
		seam_rows rows;

		ASSERT_EQ(seam_store_scan(s, "m/", nullptr, max, &rows,
					  seam_now(k) + 2 * SEAM_SEC, &e),
			  0)
			<< e.text;
		EXPECT_EQ(rows.more, max == 2);
		seam_rows_free(&rows);
	}
	seam_store_close(s);
}

// Guards against a commit that applied but is reported as not applied.
TEST_F(StoreHttp, LostResponseIsUnknownThenResolved)
{
	seam_fake_platform_http_faults f = {};
	seam_row row = {};

	f.lose_answers = 1000;
	seam_fake_platform_http_set_faults(server, &f);
	EXPECT_EQ(put("team/a", "{}", SEAM_ABSENT, in(2000)), -1);
	EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN);
	ASSERT_EQ(seam_store_get(s, "team/a", &row, in(2000), &e), 0);
	seam_row_free(&row);

	seam_write w = {SEAM_PUT, "team/b", SEAM_ABSENT, "{}", 2};
	seam_commit c = {&w, 1, 0, 0};
	seam_err_clear(&e);
	EXPECT_EQ(seam_store_commit_retry(s, k, &c, in(3000), &e), 0) << e.text;
	EXPECT_GT(c.version, 0u);
}

// Guards against a commit that is reported as not applied because its response
// did not arrive before the deadline.
TEST_F(StoreHttp, SlowCommitIsUnknown)
{
	seam_fake_platform_http_faults f = {};

	f.delay_ms = 400;
	seam_fake_platform_http_set_faults(server, &f);
	EXPECT_EQ(put("team/a", "{}", SEAM_ABSENT, in(100)), -1);
	EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN);
	EXPECT_EQ(put("team/c", "{}", SEAM_ABSENT, seam_now(k)), -1);
	EXPECT_EQ(e.kind, SEAM_UNAVAILABLE);
}

// Guards against an unknown outcome when the commit can't have been applied.
TEST_F(StoreHttp, DownAndRateLimitAreNotApplied)
{
	seam_fake_platform_http_faults f = {};
	seam_store *unreachable =
		seam_store_http_new(k, test_url(24011).c_str());
	seam_write w = {SEAM_PUT, "a", SEAM_ABSENT, "", 0};
	seam_commit c = {&w, 1, 7, 0};

	f.down = true;
	seam_fake_platform_http_set_faults(server, &f);
	EXPECT_EQ(put("team/a", "{}", SEAM_ABSENT, in(1000)), -1);
	EXPECT_EQ(e.kind, SEAM_UNAVAILABLE);
	f.down = false;
	f.writes_per_sec = 1;
	seam_fake_platform_http_set_faults(server, &f);
	EXPECT_EQ(put("team/a", "{}", SEAM_ABSENT, in(1000)), 0);
	EXPECT_EQ(put("team/b", "{}", SEAM_ABSENT, in(1000)), -1);
	EXPECT_EQ(e.kind, SEAM_UNAVAILABLE);
	EXPECT_EQ(seam_store_commit(unreachable, &c, in(500), &e), -1);
	EXPECT_EQ(e.kind, SEAM_UNAVAILABLE);
	seam_store_close(unreachable);
}

// Accepts @connections and sends @bytes as the response on each.
static void respond_with(int fd, std::string bytes, int connections)
{
	while (connections--) {
		char buf[4096];
		int c = accept(fd, nullptr, nullptr);
		if (read(c, buf, sizeof(buf)) > 0 &&
		    write(c, bytes.data(), bytes.size()) < 0)
			break;
		close(c);
	}
}

// Guards against a malformed response that is taken for a commit's outcome.
TEST_F(StoreHttp, MalformedResponsesAreUnknown)
{
	const char *responses[] = {
		"",
		"HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"version",
		"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy",
		"HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 500 X\r\nContent-Length: 13\r\n\r\n{\"error\":\"x\"}",
		"garbage",
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;
	sockaddr_in a = {};

	a.sin_family = AF_INET;
	a.sin_port = htons(24012);
	inet_pton(AF_INET, test_host(), &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ASSERT_EQ(bind(fd, (sockaddr *)&a, sizeof(a)), 0);
	ASSERT_EQ(listen(fd, 4), 0);
	for (const char *text : responses) {
		seam_store *b = seam_store_http_new(k, test_url(24012).c_str());
		seam_write w = {SEAM_PUT, "a", SEAM_ABSENT, "", 0};
		seam_commit c = {&w, 1, 7, 0};
		std::thread t(respond_with, fd, text, 1);

		seam_err_clear(&e);
		EXPECT_EQ(seam_store_commit(b, &c, in(1000), &e), -1) << text;
		EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN) << text;
		t.join();
		seam_store_close(b);
	}
	close(fd);
}

// Guards against a VM that is rebooted twice for the same boot number.
TEST_F(StoreHttp, PlatformListAndReboot)
{
	seam_platform *p = seam_platform_http_new(k, test_url(24010).c_str());
	seam_vm vm = {};
	seam_vms list = {};

	snprintf(vm.id, sizeof(vm.id), "vm-1");
	snprintf(vm.dc, sizeof(vm.dc), "a");
	vm.memory_mb = 512;
	vm.boot = 4;
	seam_fake_platform_put(vms, &vm);
	ASSERT_EQ(p->ops->vms(p, &list, in(2000), &e), 0) << e.text;
	ASSERT_EQ(list.n, 1u);
	EXPECT_STREQ(list.vm[0].id, "vm-1");
	EXPECT_EQ(list.vm[0].memory_mb, 512);
	EXPECT_EQ(list.vm[0].state, SEAM_VM_LIVE);
	EXPECT_GT(list.as_of, 0);
	seam_vms_free(&list);
	EXPECT_EQ(p->ops->reboot(p, "vm-1", 4, in(2000), &e), 0);
	EXPECT_EQ(p->ops->reboot(p, "vm-1", 4, in(2000), &e), 0);
	EXPECT_EQ(seam_fake_platform_reboots(vms), 1);
	EXPECT_EQ(p->ops->reboot(p, "vm-2", 1, in(2000), &e), -1);
	EXPECT_EQ(e.kind, SEAM_NOT_FOUND);
	seam_platform_http_free(p);
}

// Guards against deletions that are missing from the changes of the VM list,
// and against a whole list that is taken for changes: a platform without
// cursors sends one, as does one that doesn't know the cursor.
TEST_F(StoreHttp, PlatformChanges)
{
	seam_platform *p = seam_platform_http_new(k, test_url(24010).c_str());
	seam_vm vm = {};
	seam_vms first = {};
	seam_vms next = {};

	for (const char *id : {"vm-1", "vm 2"}) {
		snprintf(vm.id, sizeof(vm.id), "%s", id);
		seam_fake_platform_put(vms, &vm);
	}
	ASSERT_EQ(p->ops->changes(p, "", &first, in(2000), &e), 0) << e.text;
	EXPECT_FALSE(first.change);
	EXPECT_EQ(first.n, 2u);
	ASSERT_STRNE(first.cursor, "");
	ASSERT_EQ(p->ops->changes(p, first.cursor, &next, in(2000), &e), 0);
	EXPECT_TRUE(next.change);
	EXPECT_EQ(next.n + next.gone_n, 0u);
	EXPECT_EQ(next.total, 2u);
	EXPECT_GE(next.as_of, first.as_of);
	seam_vms_free(&next);
	seam_fake_platform_del(vms, "vm 2");
	vm.boot = 7;
	snprintf(vm.id, sizeof(vm.id), "vm-1");
	seam_fake_platform_put(vms, &vm);
	ASSERT_EQ(p->ops->changes(p, first.cursor, &next, in(2000), &e), 0);
	ASSERT_EQ(next.n, 1u);
	EXPECT_EQ(next.vm[0].boot, 7);
	ASSERT_EQ(next.gone_n, 1u);
	EXPECT_STREQ(next.gone[0], "vm 2");
	EXPECT_STRNE(next.cursor, first.cursor);
	seam_vms_free(&next);
	ASSERT_EQ(p->ops->changes(p, "no cursor/&", &next, in(2000), &e), 0);
	EXPECT_FALSE(next.change);
	EXPECT_EQ(next.n, 1u);
	seam_vms_free(&next);
	seam_vms_free(&first);
	seam_platform_http_free(p);
}

// Guards against changes relative to another cursor than the requested one, and
// against malformed responses that would empty the VM list.
TEST_F(StoreHttp, MalformedChangesAreRejected)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;
	sockaddr_in a = {};

	a.sin_family = AF_INET;
	a.sin_port = htons(24013);
	inet_pton(AF_INET, test_host(), &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ASSERT_EQ(bind(fd, (sockaddr *)&a, sizeof(a)), 0);
	ASSERT_EQ(listen(fd, 4), 0);
	for (const char *body :
	     {"{\"as_of\":5,\"since\":\"1.8\",\"vms\":[],\"gone\":[]}",
	      "{\"as_of\":5,\"since\":\"1.7\",\"vms\":[]}",
	      "{\"as_of\":5,\"vms\":[{\"boot\":1}]}", "{\"as_of\":5}",
	      "{\"as_of\":5,\"vms\":[", ""}) {
		seam_platform *p =
			seam_platform_http_new(k, test_url(24013).c_str());
		std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " +
				   std::to_string(strlen(body)) + "\r\n\r\n" +
				   body;
		std::thread t(respond_with, fd, text.c_str(), 1);
		seam_vms out = {};

		seam_err_clear(&e);
		EXPECT_EQ(p->ops->changes(p, "1.7", &out, in(1000), &e), -1)
			<< body;
		EXPECT_EQ(e.kind, SEAM_UNAVAILABLE) << body;
		EXPECT_EQ(out.vm, nullptr);
		t.join();
		seam_platform_http_free(p);
	}
	close(fd);
}
