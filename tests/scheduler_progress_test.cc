// Rows with the progress of jobs: done tasks and failed runs.
#include "tests/scheduler_fixture.h"

namespace
{
std::string job_key()
{
	char key[SEAM_KEY_MAX];

	seam_jobrow_key(ID, key);
	return key;
}

std::string progress_key()
{
	char key[SEAM_KEY_MAX];

	seam_progress_key(ID, 0, key);
	return key;
}

// Guards against a job's row that comes back to the owner through the feed with
// each end: on the small twin of the large site that was a third of its link.
TEST_F(Scheduler, EndsDoNotChangeTheRowOfTheJob)
{
	w.add_worker("a", "p", 1000);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 4, "100", 2);
	uint64_t version = w.store.version_of(job_key());
	EXPECT_TRUE(eventually([&] {
		return w.store.get(progress_key()).find("d") !=
		       std::string::npos;
	}));
	EXPECT_TRUE(eventually([&] { return w.started(task(1, 1)) == 1; }));
	EXPECT_EQ(w.store.version_of(job_key()), version);
	EXPECT_TRUE(becomes("completed"));
}

// Guards against rows of progress that stay for ever.
TEST_F(Scheduler, ProgressGoesWithTheEndOfTheJob)
{
	w.add_worker("a", "p", 1000);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 4, "100");
	EXPECT_TRUE(
		eventually([&] { return w.store.get(progress_key()) != ""; }));
	EXPECT_TRUE(becomes("completed"));
	EXPECT_EQ(w.store.get(progress_key()), "");
}

// The same for a job that its caller cancels.
TEST_F(Scheduler, ProgressGoesWithACancelledJob)
{
	w.add_worker("a", "p", 1000);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 8, "200");
	EXPECT_TRUE(
		eventually([&] { return w.store.get(progress_key()) != ""; }));
	std::string row = w.store.get(job_key());
	size_t at = row.find("\"state\":\"queued\"");
	ASSERT_NE(at, std::string::npos);
	w.store.put(job_key(), row.replace(at, 16, "\"state\":\"cancelled\""));
	EXPECT_TRUE(
		eventually([&] { return w.store.get(progress_key()) == ""; }));
	EXPECT_EQ(w.state(ID), "cancelled");
	EXPECT_TRUE(eventually([&] {
		pthread_mutex_lock(&o.sched->lock);
		bool gone = !scheduler_find_job(o.sched, ID);
		pthread_mutex_unlock(&o.sched->lock);
		return gone;
	}));
}

// Guards against done tasks that a later owner starts again.
TEST_F(Scheduler, NextOwnerKeepsTheProgress)
{
	FakeWorker *a = w.add_worker("a", "p", 1000);

	w.job(ID, 6, "150");
	{
		Owner o(&w, "n1");

		o.start_renewals();
		EXPECT_TRUE(eventually([&] {
			return w.store.get(progress_key()).find("dd") !=
			       std::string::npos;
		}));
	}
	a->restart(); // it lists no end any more
	Owner o(&w, "n2");
	o.start_renewals();
	EXPECT_TRUE(becomes("completed", 15000));
	EXPECT_EQ(w.started(task(0, 0)), 1);
	EXPECT_EQ(w.started(task(0, 1)), 1);
}

// Guards against ends that are lost, and against an owner that stops
// committing, when a commit of the owner before is carried out late.
TEST_F(Scheduler, LateProgressOfTheOwnerBeforeIsMerged)
{
	w.add_worker("a", "p", 1000);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 6, "300");
	EXPECT_TRUE(eventually([&] { return w.started(task(0, 0)) == 1; }));
	w.store.put(progress_key(), "{\"done\":[\"----d-\"]}");
	EXPECT_TRUE(becomes("completed", 15000));
	EXPECT_EQ(w.started(task(0, 4)), 0);
	EXPECT_EQ(w.store.get(progress_key()), "");
}

// Guards against a row of progress that is too large, so that no end is stored.
TEST_F(Scheduler, FailedRunsOutgrowNoRow)
{
	const int stored = 3100; // 62,600 bytes with the done tasks
	const int failing = 300; // another 5,700
	FakeWorker *a = w.add_worker("a", "p", 64000);
	std::string row = "{\"done\":[\"" + std::string(stored, 'd') +
			  std::string(failing, '-') + "\"],\"failed\":[";

	for (int i = 0; i < stored; i++)
		row += (i ? ",0," : "0,") + std::to_string(i) + ",10000000001";
	w.job(ID, stored + failing, "500", 1,
	      [](seam_step *s) { s->need.cpu = 10; });
	w.store.put(progress_key(), row + "]}");
	ASSERT_LE(row.size() + 2, FEED_ROW_BYTES_MAX);
	a->fail_all = true;
	Owner o(&w, "n1");
	o.start_renewals();
	EXPECT_TRUE(eventually([&] { return a->failed >= failing; }, 20000));
	a->fail_all = false;
	EXPECT_TRUE(becomes("completed", 20000));
	EXPECT_EQ(w.store.rows_under(SEAM_PROGRESS_ROW_PREFIX), 0u);
}

// Lets the first step of a job run to its end, while the second has no worker.
void run_first_step(World *w, const char *id)
{
	int step = 0;

	w->job(id, 2, "100", 2, [&](seam_step *s) {
		if (step++)
			snprintf(s->label, sizeof(s->label), "none");
	});
	EXPECT_TRUE(
		eventually([&] { return w->started(task(0, 1, id)) == 1; }));
	usleep(300000);
}

// Guards against one refused row, with which no end of other jobs is stored.
TEST_F(Scheduler, RefusedRowHoldsUpNoOtherJob)
{
	std::vector<std::string> ids;

	w.add_worker("a", "p", 64000);
	w.store.refuse_row(progress_key());
	Owner o(&w, "n1");
	o.start_renewals();
	run_first_step(&w, ID);
	for (int i = 0; i < 20; i++) {
		char id[SEAM_JOB_ID_SIZE];

		snprintf(id, sizeof(id), "1%015x", i);
		w.job(id, 2, "300", 2);
		ids.push_back(id);
	}
	for (auto &id : ids)
		EXPECT_TRUE(becomes("completed", 4000, id.c_str())) << id;
}

// Guards against a refused row that is not written once the store takes it.
TEST_F(Scheduler, RefusedRowIsWrittenAgain)
{
	w.add_worker("a", "p", 64000);
	w.store.refuse_row(progress_key());
	Owner o(&w, "n1");
	o.start_renewals();
	run_first_step(&w, ID);
	EXPECT_EQ(w.store.get(progress_key()), "");
	w.store.refuse_row("");
	EXPECT_TRUE(
		eventually([&] { return w.store.get(progress_key()) != ""; }));
}

// Guards against a commit that is too large, so that no end is stored.
TEST_F(Scheduler, RowsTogetherOutgrowNoCommit)
{
	std::vector<std::string> keys;
	FakeWorker *a = w.add_worker("a", "p", 64000);
	std::string failed;

	for (int i = 0; i < SEAM_PROGRESS_FAILURES_MAX; i++)
		failed += (i ? ",0," : "0,") + std::to_string(i) + "," +
			  std::to_string(INT64_MAX);
	for (int i = 0; i < 30; i++) {
		char id[SEAM_JOB_ID_SIZE];
		char key[SEAM_KEY_MAX];
		int step = 0;

		snprintf(id, sizeof(id), "1%015x", i);
		seam_progress_key(id, 0, key);
		w.job(id, 2000, "2000", 2, [&](seam_step *s) {
			s->need.cpu = 1;
			if (step++)
				s->tasks = 1;
		});
		w.store.put(key, "{\"done\":[\"-" + std::string(1999, 'd') +
					 "\"],\"failed\":[" + failed + "]}");
		keys.push_back(key);
	}
	w.store.hold_rows(SEAM_PROGRESS_ROW_PREFIX);
	Owner o(&w, "n1");
	o.start_renewals();
	EXPECT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);
		return a->done.size() >= keys.size();
	}));
	usleep(100000); // the ends are listed; the second steps run
	w.store.hold_rows("");
	for (auto &key : keys)
		EXPECT_TRUE(eventually(
			[&] {
				return !w.store.get(key).compare(
					0, 11, "{\"done\":[\"d");
			},
			1000))
			<< key;
}

// Guards against failed runs in further rows that a next owner does not count.
TEST_F(Scheduler, NextOwnerCountsFailedRunsOfAllRows)
{
	char key[SEAM_KEY_MAX];
	FakeWorker *a = w.add_worker("a");

	seam_progress_key(ID, 1, key);
	w.job(ID, 1, "100");
	w.store.put(progress_key(), "{\"done\":[\"-\"],\"failed\":[0,0,5]}");
	w.store.put(key, "{\"failed\":[0,0,6]}");
	a->fail_all = true;
	Owner o(&w, "n1");
	o.start_renewals();
	EXPECT_TRUE(becomes("failed"));
	EXPECT_EQ(a->failed, 1);
	EXPECT_TRUE(eventually(
		[&] { return !w.store.rows_under(SEAM_PROGRESS_ROW_PREFIX); }));
}

// Guards against a job that stays open when the progress of two owners together
// is complete: no further end is listed then.
TEST_F(Scheduler, JobEndsWhenItsProgressIsComplete)
{
	w.add_worker("a", "p", 1000);
	w.job(ID, 2, "300");
	w.store.put(progress_key(), "{\"done\":[\"dd\"]}");
	Owner o(&w, "n1");
	o.start_renewals();
	EXPECT_TRUE(becomes("completed"));
	EXPECT_EQ(w.started(task(0, 0)), 0);
}

// Guards against a node that can never become the owner: it read 400 rows of
// each part at once, which took longer on its link than any read may take.
TEST_F(Scheduler, JobsAreReadOverANarrowLink)
{
	for (int i = 0; i < 1600; i++) {
		char id[SEAM_JOB_ID_SIZE];

		snprintf(id, sizeof(id), "%x%015x", i % 16, i);
		w.job(id, 1, "100", 1, nullptr, "elsewhere");
	}
	w.store.scan_row_us = 2000;
	Owner o(&w, "n1");
	w.store.scan_row_us = 0;
	ASSERT_NE(o.sched, nullptr) << o.e.text;
	EXPECT_EQ(seam_table_count(o.sched->jobs), 1600u);
}

// Guards against jobs that an owner never knows as the store cut their page.
TEST_F(Scheduler, JobsBehindAPageThatTheStoreCutAreKnown)
{
	for (int i = 0; i < 300; i++) {
		char id[SEAM_JOB_ID_SIZE];

		snprintf(id, sizeof(id), "1%015x", i);
		w.job(id, 1, "100", 1, nullptr, "elsewhere");
	}
	w.store.page_bytes = 4000;
	Owner o(&w, "n1");
	ASSERT_NE(o.sched, nullptr) << o.e.text;
	EXPECT_EQ(seam_table_count(o.sched->jobs), 300u);
}

// Guards against a job that a damaged row of progress keeps from running, or
// that takes the owner down.
TEST_F(Scheduler, DamagedProgressCountsAsNone)
{
	w.add_worker("a", "p", 2000);
	w.job(ID, 2, "100");
	w.store.put(progress_key(), "{\"done\":[7,{}],\"failed\":[[]]");
	Owner o(&w, "n1");
	o.start_renewals();
	EXPECT_TRUE(becomes("completed"));
	EXPECT_EQ(w.store.get(progress_key()), "");
}

// Guards against an end that is committed but not answered, after which the
// owner waits for a row that is there already.
TEST_F(Scheduler, EndWithoutAnAnswerFromTheStore)
{
	w.add_worker("a", "p", 1000);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 3, "150");
	EXPECT_TRUE(
		eventually([&] { return w.store.get(progress_key()) != ""; }));
	w.store.lose_answers = 3;
	EXPECT_TRUE(becomes("completed"));
	EXPECT_TRUE(eventually([&] {
		pthread_mutex_lock(&o.sched->lock);
		bool gone = !scheduler_find_job(o.sched, ID);
		pthread_mutex_unlock(&o.sched->lock);
		return gone;
	}));
	EXPECT_EQ(w.store.get(progress_key()), "");
	expect_starts(1, 3, 1);
}

// Runs 600 tasks to their ends on @a while no end can be stored.
void end_more_than_are_listed(World *w, FakeWorker *a)
{
	w->store.hold_rows(SEAM_PROGRESS_ROW_PREFIX);
	w->job(ID, 600, "100");
	EXPECT_TRUE(eventually(
		[&] {
			std::lock_guard<std::mutex> l(a->lock);
			a->tick();
			return a->ends.size() >= 600;
		},
		20000));
}

// Guards against second starts of tasks whose ends do not fit into a listing.
TEST_F(Scheduler, EndsThatAreNotListedYetStartNothingAgain)
{
	FakeWorker *a = w.add_worker("a", "p", 600000);
	Owner o(&w, "n1");

	o.start_renewals();
	end_more_than_are_listed(&w, a);
	usleep(1000000);
	w.store.hold_rows("");
	EXPECT_TRUE(becomes("completed", 20000));
	expect_starts(1, 600, 1);
}

// Guards against the same starts by the next owner, which has no runs of them.
TEST_F(Scheduler, NextOwnerWaitsForEndsThatAreNotListedYet)
{
	FakeWorker *a = w.add_worker("a", "p", 600000);
	{
		Owner o(&w, "n1");

		o.start_renewals();
		end_more_than_are_listed(&w, a);
	}
	Owner next(&w, "n2");

	next.start_renewals();
	usleep(1000000);
	w.store.hold_rows("");
	EXPECT_TRUE(becomes("completed", 20000));
	expect_starts(1, 600, 1);
}
} // namespace
