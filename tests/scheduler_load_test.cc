// What the owner's log and metrics tell of tasks that do not run.
#include "base/metrics.h"
#include "tests/scheduler_fixture.h"

using SchedulerLoad = Scheduler;

static int64_t metric(const std::string &name)
{
	char *text = nullptr;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	seam_metrics_write(f);
	fclose(f);
	std::string s = "\n" + std::string(text, len);

	free(text);
	size_t at = s.find("\n" + name + " ");

	return at == std::string::npos ?
		       -1 :
		       atoll(s.c_str() + at + name.size() + 2);
}

static const char *const BESIDE_ROOM = "seam_tasks_waiting_beside_room";

// Guards against a lost task in a free pool that no line explains.
TEST_F(SchedulerLoad, TaskThatFitsNowhereIsTold)
{
	w.add_worker("a");
	w.add_worker("b");
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 2, "20000", 1, [](seam_step *s) { s->need.cpu = 9000; });
	EXPECT_TRUE(eventually([&] { return metric(BESIDE_ROOM) == 2; }));
}

// Guards against a task whose end is not heard and that no line explains.
TEST_F(SchedulerLoad, RunOnAWorkerThatDoesNotAnswerIsTold)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	w.add_worker("b", "p", 32000);
	a->unresponsive = true;
	EXPECT_TRUE(eventually([&] { return metric(BESIDE_ROOM) == 1; }, 3200));
	EXPECT_EQ(w.started(task(0, 0)), 1);
}

// Guards against lines for each job that waits for its turn in a full pool.
TEST_F(SchedulerLoad, TaskThatWaitsInAFullPoolIsNotTold)
{
	w.add_worker("a", "p", 1000);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 4, "20000");
	w.job("0123456789abcdea", 4, "20000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	usleep(3500000);
	EXPECT_EQ(metric(BESIDE_ROOM), 0);
}

// Guards against a large task in a full pool that no line explains.
TEST_F(SchedulerLoad, PoolThatStartsSmallerTasksIsTold)
{
	auto small_jobs = [&](int from, int n) {
		for (int i = from; i < from + n; i++) {
			char id[17];

			snprintf(id, sizeof(id), "00000000000a%04x", i);
			w.job(id, 1, "300", 1,
			      [](seam_step *s) { s->need.cpu = 2000; });
			usleep(38000);
		}
	};

	w.add_worker("a", "p", 8000);
	w.add_worker("b", "p", 8000);
	Owner o(&w, "n1");
	o.start_renewals();
	small_jobs(0, 80);
	EXPECT_EQ(metric("seam_pools_overtaking"), 0);
	w.job(ID, 1, "300", 1, [](seam_step *s) { s->need.cpu = 9000; });
	small_jobs(80, 120);
	EXPECT_EQ(metric("seam_pools_overtaking"), 1);
}

// Guards against a check of all workers for each VM that moves.
TEST_F(SchedulerLoad, ChangesThatArriveTogetherAreCheckedTogether)
{
	w.add_worker("a");
	Owner o(&w, "n1");
	seam_time begin = seam_now(w.clock);
	int64_t before = metric("seam_worker_checks_total");

	for (int i = 0; i < 200; i++) {
		pthread_mutex_lock(&o.sched->lock);
		scheduler_request_assignment(o.sched);
		pthread_mutex_unlock(&o.sched->lock);
		usleep(1000);
	}
	int64_t checks = metric("seam_worker_checks_total") - before;
	int64_t passed_ms = (seam_now(w.clock) - begin) / SEAM_MSEC;

	/* At most one in 20 ms. */
	EXPECT_LE(checks, passed_ms / 20 + 1);
	EXPECT_TRUE(eventually([&] {
		pthread_mutex_lock(&o.sched->lock);
		bool due = o.sched->assign_due;
		pthread_mutex_unlock(&o.sched->lock);
		return !due;
	}));
}
