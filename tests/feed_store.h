#ifndef FEED_STORE_H
#define FEED_STORE_H

// In-memory store with a change feed, lost answers, late commits and outages.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <unistd.h>

#include "process/store.h"

// Waits up to @ms until @done holds.
static inline bool eventually(std::function<bool()> done, int ms = 8000)
{
	for (int i = 0; i < ms / 5; i++) {
		if (done())
			return true;
		usleep(5000);
	}
	return done();
}

// Whether @done never holds for @ms by the clock. eventually() counts its
// sleeps, which take longer on a busy machine.
static inline bool never(std::function<bool()> done, int ms)
{
	auto end = std::chrono::steady_clock::now() +
		   std::chrono::milliseconds(ms);

	while (std::chrono::steady_clock::now() < end) {
		if (done())
			return false;
		usleep(5000);
	}
	return true;
}

// Store with a change feed and injected faults.
struct FeedStore {
	seam_store base;
	std::mutex lock;
	std::condition_variable changed;
	struct Entry {
		std::string data;
		uint64_t version = 0;
		uint64_t writer = 0;
		bool gone = false;
		uint64_t sent = 0; // number of the commit that wrote it
	};
	std::map<std::string, Entry> rows;
	uint64_t version = 0;
	std::atomic<bool> down{false};
	std::atomic<bool> unresponsive{false}; // calls time out
	int lose_answers = 0; // number of commits to apply without an answer
	int hold_commits = 0; // number of commits to drop without an answer
	std::string held_rows; // commits of rows with this prefix are dropped
	std::string refused_row; // commits of this row are refused for good
	std::atomic<int> refuse_commits{0};
	std::atomic<int> fail_gets{0};
	// Watches from earlier versions are stale.
	std::atomic<uint64_t> forgotten{0};
	int commits = 0;
	// Returns how much later a commit is performed, which then gets no
	// answer; 0 for an answer, SEAM_NEVER until perform_late(). Called with
	// the lock held.
	std::function<seam_time(const seam_commit *)> lateness;
	struct LateCommit {
		seam_time due;
		uint64_t sent;
		uint64_t token;
		std::vector<seam_write> write; // without texts
		std::vector<std::pair<std::string, std::string>> text;
	};
	std::vector<LateCommit> late_commits;
	uint64_t commits_sent = 0;
	// Rows that a late commit has replaced though they were written by a
	// commit that was sent after it.
	std::vector<std::string> set_back;
	// Late commits whose conditions no longer held, by row.
	std::map<std::string, int> late_conflicts;
	// Old rows, one of which the next idle watch returns.
	std::map<std::string, Entry> late;
	std::atomic<size_t> largest{0};
	// Bytes of rows after which a page of a scan is cut, at least one row.
	std::atomic<size_t> page_bytes{SIZE_MAX};
	// Time of a row of a scan on the link, which all scans share.
	std::atomic<int> scan_row_us{0};
	std::mutex link;

	FeedStore();

	void put(const std::string &key, const std::string &data)
	{
		std::lock_guard<std::mutex> l(lock);
		rows[key] = {data, ++version, 0, false, ++commits_sent};
		changed.notify_all();
	}
	void del(const std::string &key)
	{
		std::lock_guard<std::mutex> l(lock);
		rows[key] = {"", ++version, 0, true, ++commits_sent};
		changed.notify_all();
	}
	std::string get(const std::string &key)
	{
		std::lock_guard<std::mutex> l(lock);
		auto it = rows.find(key);
		return it == rows.end() || it->second.gone ? "" :
							     it->second.data;
	}
	uint64_t version_of(const std::string &key)
	{
		std::lock_guard<std::mutex> l(lock);
		auto it = rows.find(key);
		return it == rows.end() || it->second.gone ? 0 :
							     it->second.version;
	}
	size_t rows_under(const std::string &prefix)
	{
		std::lock_guard<std::mutex> l(lock);
		size_t n = 0;

		for (auto &r : rows)
			n += !r.second.gone &&
			     !r.first.compare(0, prefix.size(), prefix);
		return n;
	}
	void hold_rows(const std::string &prefix)
	{
		std::lock_guard<std::mutex> l(lock);
		held_rows = prefix;
	}
	bool is_held(const seam_commit *c) const
	{
		for (size_t i = 0; i < c->n && !held_rows.empty(); i++)
			if (!strncmp(c->write[i].key, held_rows.c_str(),
				     held_rows.size()))
				return true;
		return false;
	}
	void keep_late(const seam_commit *c, seam_time due);
	void perform_due(seam_time now);
	// Performs all late commits, as far as their conditions hold.
	void perform_late()
	{
		std::lock_guard<std::mutex> l(lock);
		perform_due(SEAM_NEVER);
	}
	size_t kept_late()
	{
		std::lock_guard<std::mutex> l(lock);
		return late_commits.size();
	}
	void refuse_row(const std::string &key)
	{
		std::lock_guard<std::mutex> l(lock);
		refused_row = key;
	}
	void set_lateness(std::function<seam_time(const seam_commit *)> fn)
	{
		std::lock_guard<std::mutex> l(lock);
		lateness = fn;
	}
	static void fill(seam_row *r, const std::string &key, const Entry &e)
	{
		memset(r, 0, sizeof(*r));
		snprintf(r->key, sizeof(r->key), "%s", key.c_str());
		r->version = e.version;
		r->writer = e.writer;
		if (e.gone)
			return;
		r->data = strdup(e.data.c_str());
		r->len = e.data.size();
	}
};

static inline FeedStore *feed_store_of(seam_store *s)
{
	return (FeedStore *)s; // its base is the first member
}

// Times out at @deadline if calls are not answered.
static bool feed_wait_if_unresponsive(FeedStore *f, seam_time deadline,
				      seam_err *e)
{
	if (!f->unresponsive)
		return false;
	while (seam_now(seam_clock_boot()) < deadline)
		usleep(2000);
	seam_fail(e, SEAM_COMMIT_UNKNOWN, "silent");
	return true;
}

// Waits for the rows of a scan to pass the link; false after @deadline.
static bool feed_transfer(FeedStore *f, const char *prefix, const char *after,
			  size_t max, seam_time deadline)
{
	size_t n = 0;

	if (!f->scan_row_us)
		return true;
	{
		std::lock_guard<std::mutex> l(f->lock);

		for (auto &r : f->rows)
			n += !r.second.gone &&
			     !r.first.compare(0, strlen(prefix), prefix) &&
			     (!after || r.first > after) && n < max;
	}
	for (; n && seam_now(seam_clock_boot()) < deadline; n--) {
		std::lock_guard<std::mutex> l(f->link);

		usleep((useconds_t)f->scan_row_us);
	}
	return !n;
}

static int feed_scan(seam_store *s, const char *prefix, const char *after,
		     size_t max, seam_rows *out, seam_time deadline,
		     seam_err *e)
{
	FeedStore *f = feed_store_of(s);
	if (feed_wait_if_unresponsive(f, deadline, e))
		return -1;
	memset(out, 0, sizeof(*out));
	if (!feed_transfer(f, prefix, after, max, deadline))
		return seam_fail(e, SEAM_UNAVAILABLE, "timeout");
	std::lock_guard<std::mutex> l(f->lock);

	if (f->down)
		return seam_fail(e, SEAM_UNAVAILABLE, "down");
	f->perform_due(seam_now(seam_clock_boot()));
	out->row = (seam_row *)calloc(f->rows.size() + 1, sizeof(seam_row));
	out->version = f->version;
	size_t bytes = 0;

	for (auto &r : f->rows) {
		if (r.second.gone ||
		    r.first.compare(0, strlen(prefix), prefix) ||
		    (after && r.first <= after))
			continue;
		bytes += r.second.data.size();
		out->more = out->n == max || (out->n && bytes > f->page_bytes);
		if (out->more)
			break;
		FeedStore::fill(&out->row[out->n++], r.first, r.second);
	}
	return 0;
}

static int feed_get(seam_store *s, const char *key, seam_row *row,
		    seam_time deadline, seam_err *e)
{
	FeedStore *f = feed_store_of(s);
	if (feed_wait_if_unresponsive(f, deadline, e))
		return -1;
	std::lock_guard<std::mutex> l(f->lock);

	if (f->down)
		return seam_fail(e, SEAM_UNAVAILABLE, "down");
	if (f->fail_gets > 0) {
		f->fail_gets--;
		return seam_fail(e, SEAM_UNAVAILABLE, "refused");
	}
	f->perform_due(seam_now(seam_clock_boot()));
	auto it = f->rows.find(key);
	if (it == f->rows.end() || it->second.gone)
		return seam_fail(e, SEAM_NOT_FOUND, "no row");
	FeedStore::fill(row, key, it->second);
	return 0;
}

static int feed_apply(FeedStore *f, seam_commit *c, uint64_t sent, seam_err *e)
{
	for (size_t i = 0; i < c->n; i++) {
		const seam_write *w = &c->write[i];
		auto it = f->rows.find(w->key);
		uint64_t now = it == f->rows.end() || it->second.gone ?
				       0 :
				       it->second.version;

		if (w->version != SEAM_ANY_VERSION && w->version != now)
			return seam_fail(e, SEAM_CONFLICT, "%s", w->key);
	}
	c->version = ++f->version;
	for (size_t i = 0; i < c->n; i++) {
		const seam_write *w = &c->write[i];

		if (w->op == SEAM_CHECK)
			continue;
		if (f->rows[w->key].sent > sent)
			f->set_back.push_back(w->key);
		if (w->op == SEAM_PUT)
			f->rows[w->key] = {std::string(w->data, w->len),
					   c->version, c->token, false, sent};
		else
			f->rows[w->key] = {"", c->version, c->token, true,
					   sent};
	}
	f->changed.notify_all();
	return 0;
}

inline void FeedStore::keep_late(const seam_commit *c, seam_time due)
{
	LateCommit late = {due, commits_sent, c->token, {}, {}};

	for (size_t i = 0; i < c->n; i++) {
		const seam_write *w = &c->write[i];

		late.write.push_back(*w);
		late.text.push_back(
			{w->key, w->data ? std::string(w->data, w->len) : ""});
	}
	late_commits.push_back(late);
}

// Performs the late commits that are due at @now, in the order of their due
// times. Called with the lock held.
inline void FeedStore::perform_due(seam_time now)
{
	for (;;) {
		auto first = std::min_element(
			late_commits.begin(), late_commits.end(),
			[](auto &a, auto &b) { return a.due < b.due; });

		if (first == late_commits.end() || first->due > now)
			return;
		LateCommit late = *first;
		seam_commit c = {late.write.data(), late.write.size(),
				 late.token, 0};
		seam_err e = SEAM_ERR_INIT;

		late_commits.erase(first);
		for (size_t i = 0; i < late.write.size(); i++) {
			late.write[i].key = late.text[i].first.c_str();
			late.write[i].data = late.text[i].second.c_str();
		}
		if (feed_apply(this, &c, late.sent, &e))
			late_conflicts[late.text[0].first]++;
	}
}

// The platform's table service takes 65,536 bytes a row, of which the token of
// the commit takes 17, and calls of 1 MB, in which rows are base64.
static const size_t FEED_ROW_BYTES_MAX = 65536 - 17;
static const size_t FEED_CALL_BYTES_MAX = 1000000;

static bool feed_exceeds_size(const seam_commit *c, seam_err *e)
{
	size_t bytes = 0;

	for (size_t i = 0; i < c->n; i++) {
		bytes += 2 * strlen(c->write[i].key) +
			 (c->write[i].len + 17) * 4 / 3;
		if (c->write[i].len > FEED_ROW_BYTES_MAX) {
			seam_fail(e, SEAM_BAD_REQUEST, "%s: too large",
				  c->write[i].key);
			return true;
		}
	}
	if (bytes > FEED_CALL_BYTES_MAX)
		seam_fail(e, SEAM_BAD_REQUEST, "%zu bytes", bytes);
	return bytes > FEED_CALL_BYTES_MAX;
}

static int feed_commit(seam_store *s, seam_commit *c, seam_time deadline,
		       seam_err *e)
{
	FeedStore *f = feed_store_of(s);
	if (feed_wait_if_unresponsive(f, deadline, e))
		return -1;
	std::lock_guard<std::mutex> l(f->lock);
	size_t entries = 0;

	if (f->down)
		return seam_fail(e, SEAM_UNAVAILABLE, "down");
	f->perform_due(seam_now(seam_clock_boot()));
	if (f->refuse_commits > 0) {
		f->refuse_commits--;
		return seam_fail(e, SEAM_UNAVAILABLE, "refused");
	}
	// The service counts each expected version and each write.
	for (size_t i = 0; i < c->n; i++)
		entries += (c->write[i].version != SEAM_ANY_VERSION) +
			   (c->write[i].op != SEAM_CHECK);
	if (entries > 100)
		return seam_fail(e, SEAM_BAD_REQUEST, "over 100 entries");
	if (feed_exceeds_size(c, e))
		return -1;
	for (size_t i = 0; i < c->n; i++)
		if (f->refused_row == c->write[i].key)
			return seam_fail(e, SEAM_BAD_REQUEST, "refused");
	f->commits++;
	f->commits_sent++;
	f->largest = std::max((size_t)f->largest, entries);
	if (f->hold_commits > 0 || f->is_held(c)) {
		f->hold_commits -= f->hold_commits > 0;
		return seam_fail(e, SEAM_COMMIT_UNKNOWN, "no answer");
	}
	seam_time late = f->lateness ? f->lateness(c) : 0;

	if (late) {
		f->keep_late(c, late == SEAM_NEVER ?
					SEAM_NEVER :
					seam_now(seam_clock_boot()) + late);
		return seam_fail(e, SEAM_COMMIT_UNKNOWN, "no answer");
	}
	if (feed_apply(f, c, f->commits_sent, e))
		return -1;
	if (f->lose_answers > 0) {
		f->lose_answers--;
		return seam_fail(e, SEAM_COMMIT_UNKNOWN, "no answer");
	}
	return 0;
}

static int feed_watch(seam_store *s, const char *prefix, uint64_t *after,
		      seam_rows *out, seam_time deadline, seam_err *e)
{
	FeedStore *f = feed_store_of(s);
	if (feed_wait_if_unresponsive(f, deadline, e))
		return -1;
	std::unique_lock<std::mutex> l(f->lock);
	uint64_t read_to;
	auto end = std::chrono::steady_clock::now() +
		   std::chrono::milliseconds(200);

	memset(out, 0, sizeof(*out));
	for (;;) {
		free(out->row);
		out->row = nullptr;
		if (f->down)
			return seam_fail(e, SEAM_UNAVAILABLE, "down");
		if (*after < f->forgotten)
			return seam_fail(e, SEAM_STALE, "forgotten");
		out->row = (seam_row *)calloc(f->rows.size() + 1,
					      sizeof(seam_row));
		read_to = f->version;
		for (auto &r : f->rows)
			if (r.second.version > *after &&
			    !r.first.compare(0, strlen(prefix), prefix))
				FeedStore::fill(&out->row[out->n++], r.first,
						r.second);
		if (!f->late.empty() && !out->n &&
		    !f->late.begin()->first.compare(0, strlen(prefix),
						    prefix)) {
			auto row = f->late.begin();

			FeedStore::fill(&out->row[out->n++], row->first,
					row->second);
			f->late.clear();
		}
		if (out->n ||
		    f->changed.wait_until(l, end) == std::cv_status::timeout)
			break;
	}
	// A row that was put as the wait timed out is in the next watch.
	*after = read_to;
	return 0;
}

static void feed_close(seam_store *)
{
}

static const seam_store_ops feed_ops = {feed_get, feed_scan, feed_commit,
					feed_watch, feed_close};

inline FeedStore::FeedStore()
{
	base.ops = &feed_ops;
}

#endif
