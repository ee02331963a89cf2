// Tests of an owner whose workers are served by several nodes.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "process/scheduler_impl.h"
#include "tests/owner.h"

struct Lanes : ::testing::Test {
	World w;

	// Creates nodes and workers. Returns the CPU that a node needs to
	// serve @capacity workers, thousandths of a core.
	int create_fleet(int nodes, int workers, int capacity)
	{
		for (int i = 1; i < nodes; i++)
			w.add_node();
		for (int i = 0; i < workers; i++)
			w.add_worker("w" + std::to_string(i));
		return capacity * 6;
	}
	// Submits a job of 20 tasks and waits until all run.
	bool start_job(const char *text)
	{
		w.job(ID, 20, text);
		return eventually([&] { return w.running() == 20; });
	}
	bool job_completes(int ms = 8000)
	{
		return eventually([&] { return w.state(ID) == "completed"; },
				  ms);
	}
	// Highest number of starts of one task.
	int max_starts()
	{
		std::lock_guard<std::mutex> l(w.lock);
		int n = 0;

		for (auto &s : w.starts)
			n = std::max(n, s.second);
		return n;
	}
	// Expects each worker with a lane to be in the list of that lane only.
	void expect_listed(Owner &o)
	{
		std::map<uint32_t, std::vector<int>> lanes;
		seam_handle h = SEAM_HANDLE_NONE;

		pthread_mutex_lock(&o.sched->lock);
		for (int i = 0; i < o.sched->lanes; i++)
			for (guint k = 0; k < o.sched->lane[i].served->len; k++)
				lanes[g_array_index(o.sched->lane[i].served,
						    seam_handle, k)
					      .bits]
					.push_back(i);
		while (auto *x = (seam_worker *)seam_table_next(
			       o.sched->workers, &h)) {
			std::vector<int> own;

			if (x->lane >= 0)
				own.push_back(x->lane);
			EXPECT_EQ(lanes[x->self.bits], own) << x->info.id;
		}
		pthread_mutex_unlock(&o.sched->lock);
	}
	// Returns the node that serves the most workers.
	FakeRunners *busiest(Owner &o)
	{
		FakeRunners *found = nullptr;
		int most = 0;

		pthread_mutex_lock(&o.sched->lock);
		for (int i = 1; i < o.sched->lanes; i++)
			if (o.sched->lane[i].workers > most) {
				most = o.sched->lane[i].workers;
				found = w.nodes[(size_t)i - 1];
			}
		pthread_mutex_unlock(&o.sched->lock);
		return found;
	}
	static constexpr const char *ID = "00000000000000f1";

	// Limits a node to 100 starts a second if it does nothing else.
	static void slow_down(FakeRunners *n)
	{
		n->start_us = 10000;
		n->poll_us = 500;
	}
};

// Submitted jobs, and whether each completed within 3 times its objective.
struct JobResults {
	struct Job {
		std::string id;
		int tasks;
		seam_time sent_at;
		bool served;
	};
	std::vector<Job> jobs;

	// Part of the jobs in a range that were served.
	double served_part(size_t from, size_t to) const
	{
		double n = 0;

		for (size_t i = from; i < to; i++)
			n += jobs[i].served;
		return n / (double)(to - from);
	}
	void sort_by_size()
	{
		std::stable_sort(jobs.begin(), jobs.end(),
				 [](const Job &a, const Job &b) {
					 return a.tasks < b.tasks;
				 });
	}
};

// Guards against late large jobs when the CPU of one node can't send all
// starts: the larger the job, the more of its tasks started too late.
TEST_F(Lanes, LargeJobsAreServedWhenOneNodeCannotSendAllStarts)
{
	const seam_time objective = 1600 * SEAM_MSEC;
	const int jobs = 100;
	std::mt19937 rng(1);
	std::uniform_int_distribution<int> width(1, 17);
	JobResults load;

	slow_down(&w.runners);
	for (int i = 0; i < 11; i++)
		slow_down(w.add_node());
	for (int i = 0; i < 40; i++)
		w.add_worker("w" + std::to_string(i));
	Owner o(&w, "n1", 24); // a node has capacity for four workers
	o.start_renewals();
	usleep(1500000);
	for (int i = 0; i < jobs; i++) {
		char id[20];

		snprintf(id, sizeof(id), "%016x", i + 1);
		load.jobs.push_back({id, width(rng), seam_now(w.clock), false});
		w.job(id, load.jobs[i].tasks, "300", 1,
		      [](seam_step *s) { s->estimate_ms = 300; });
		usleep(25000);
	}
	while (seam_now(w.clock) <
	       load.jobs[jobs - 1].sent_at + 3 * objective) {
		for (auto &j : load.jobs)
			if (seam_now(w.clock) < j.sent_at + 3 * objective)
				j.served = j.served ||
					   w.state(j.id) == "completed";
		usleep(50000);
	}
	load.sort_by_size();
	double all = load.served_part(0, jobs);
	EXPECT_GE(load.served_part(90, 100), all / 2) << "largest tenth";
	EXPECT_GE(load.served_part(70, 90), all / 2) << "next largest fifth";
	/* The capacity is twice the load. */
	EXPECT_EQ(all, 1.0);
}

// Guards against a text that is cut at U+0000 on its way to the worker.
TEST_F(Lanes, TextWithNulReachesTheWorkerWhole)
{
	FakeWorker *a = w.add_worker("a");
	const std::string text("50\0--dry-run", 12);

	w.add_node();
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 1, text);
	EXPECT_TRUE(eventually([&] { return w.state(ID) == "completed"; }));
	std::lock_guard<std::mutex> l(a->lock);
	EXPECT_EQ(a->latest_text, text);
}

// Guards against lost runs on workers whose node is lost: another node renews
// their leases before they expire, and no task starts again.
TEST_F(Lanes, LostNodeLosesNoRun)
{
	Owner o(&w, "n1", create_fleet(4, 10, 4));
	o.start_renewals();
	ASSERT_TRUE(start_job("5000"));
	FakeRunners *n = busiest(o);
	ASSERT_NE(n, nullptr);
	n->cut = true;
	EXPECT_TRUE(job_completes());
	EXPECT_EQ(max_starts(), 1);
}

// Guards against two runs of a task: a node carried out a start, but its answer
// was lost.
TEST_F(Lanes, LostAnswersStartNothingTwice)
{
	Owner o(&w, "n1", create_fleet(4, 10, 4));
	o.start_renewals();
	eventually([&] { return busiest(o) != nullptr; });
	usleep(500000);
	busiest(o)->cut_answers = true;
	w.job(ID, 20, "1500");
	EXPECT_TRUE(job_completes(12000));
	EXPECT_EQ(max_starts(), 1);
}

// Guards against lost runs on workers that one node can't reach: another node
// serves them before their leases expire.
TEST_F(Lanes, UnreachableWorkerGoesToAnotherNode)
{
	Owner o(&w, "n1", create_fleet(4, 10, 4));
	o.start_renewals();
	ASSERT_TRUE(start_job("5000"));
	FakeRunners *n = busiest(o);
	ASSERT_NE(n, nullptr);
	{
		std::lock_guard<std::mutex> l(n->processor);
		for (auto &x : w.workers)
			n->unreachable_workers.insert(x.first);
	}
	EXPECT_TRUE(job_completes());
	EXPECT_EQ(max_starts(), 1);
}

// Guards against a worker that no lane serves, or two, after a change.
TEST_F(Lanes, WorkersAreListedByTheirLaneOnly)
{
	Owner o(&w, "n1", create_fleet(4, 12, 4));
	o.start_renewals();
	ASSERT_TRUE(start_job("3000"));
	expect_listed(o);
	FakeRunners *n = busiest(o);
	ASSERT_NE(n, nullptr);
	for (int i = 0; i < 6; i++) {
		n->cut = i % 2 == 0;
		w.add_worker("x" + std::to_string(i));
		usleep(250000);
		expect_listed(o);
	}
	n->cut = false;
	EXPECT_TRUE(job_completes());
	EXPECT_EQ(max_starts(), 1);
	expect_listed(o);
}

// Guards against tasks started twice when a node repeatedly fails and recovers.
TEST_F(Lanes, FlappingNodeStartsNothingTwice)
{
	Owner o(&w, "n1", create_fleet(3, 10, 4));
	o.start_renewals();
	eventually([&] { return busiest(o) != nullptr; });
	FakeRunners *n = busiest(o);
	w.job(ID, 20, "700", 3);
	for (int i = 0; i < 6; i++) {
		n->cut = i % 2;
		n->cut_answers = i % 3 == 2;
		usleep(350000);
	}
	n->cut = n->cut_answers = false;
	EXPECT_TRUE(job_completes(12000));
	EXPECT_EQ(max_starts(), 1);
}

// Guards against lost runs when the owner is lost: the next owner's session
// replaces the old one at the nodes and adopts the runs.
TEST_F(Lanes, TakeoverOverNodes)
{
	int processor = create_fleet(4, 10, 4);
	{
		Owner o(&w, "n1", processor);

		o.start_renewals();
		ASSERT_TRUE(start_job("4000"));
	}
	Owner o(&w, "n2", processor);
	o.start_renewals();
	EXPECT_TRUE(job_completes());
	EXPECT_EQ(max_starts(), 1);
}

// Guards against lost tasks of a worker that restarts under its id while
// another node serves it.
TEST_F(Lanes, RestartedWorkerOfAnotherNode)
{
	Owner o(&w, "n1", create_fleet(4, 10, 4));
	o.start_renewals();
	ASSERT_TRUE(start_job("1500"));
	for (auto &x : w.workers)
		x.second->restart();
	EXPECT_TRUE(job_completes());
	EXPECT_EQ(max_starts(), 2);
}

// Guards against nodes that serve workers which left with their VM: their rows
// stay for seconds, and the table held twice as many workers as there were VMs.
TEST_F(Lanes, MovedWorkerIsServedByNobody)
{
	w.config(0, true);
	eventually([&] { return w.version_in_force() == 2; });
	Owner o(&w, "n1", create_fleet(2, 6, 40));
	o.start_renewals();
	w.job(ID, 1, "50", 1, nullptr, "other");
	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(w.lock);
		return !w.orders.empty();
	}));
	std::string order;
	{
		std::lock_guard<std::mutex> l(w.lock);
		order = w.orders[0];
	}
	std::string vm = order.substr(5, order.find(' ', 5) - 5);
	FakeWorker *gone = w.workers[vm.substr(3)];
	gone->unresponsive = true;
	EXPECT_TRUE(eventually(
		[&] {
			pthread_mutex_lock(&o.sched->lock);
			seam_handle *h = (seam_handle *)g_hash_table_lookup(
				o.sched->worker_of, gone->id.c_str());
			seam_worker *x = (seam_worker *)seam_table_get(
				o.sched->workers, *h);
			bool left = x->lane < 0;
			pthread_mutex_unlock(&o.sched->lock);
			return left;
		},
		1000));
}

// Guards against orders that leave a node after the term of their owner.
TEST_F(Lanes, DelayedBatchLeavesNothingAfterTheTerm)
{
	Owner o(&w, "n1", create_fleet(2, 10, 4));
	FakeRunners *n = w.nodes[0];

	o.start_renewals();
	w.job(ID, 80, "300");
	ASSERT_TRUE(job_completes());
	ASSERT_GT(n->start_sent_at, 0);
	n->orders_delay_ms = 2000;
	o.stop_renewals();
	w.job("00000000000000f2", 80, "lasts");
	ASSERT_TRUE(eventually([&] { return n->delayed_orders > 0; }));
	usleep(500000);
	EXPECT_LE(n->start_sent_at, seam_election_valid_until(&o.election));
}

// Guards against late orders from a node that the next owner does not use.
TEST_F(Lanes, DelayedBatchLeavesNothingAfterATakeover)
{
	Owner o(&w, "n1", create_fleet(2, 10, 4));
	FakeRunners *n = w.nodes[0];

	o.start_renewals();
	w.job(ID, 80, "300");
	ASSERT_TRUE(job_completes());
	ASSERT_GT(n->start_sent_at, 0);
	n->orders_delay_ms = 2500;
	o.stop_renewals();
	w.job("00000000000000f2", 80, "lasts");
	{
		std::lock_guard<std::mutex> l(w.runners.processor);
		for (auto &x : w.workers)
			w.runners.unreachable_workers.insert(x.first);
	}
	Owner next(&w, "n2", 500, nullptr, true);
	next.start_renewals();
	ASSERT_TRUE(eventually([&] { return n->delayed_orders > 0; }));
	usleep(500000);
	EXPECT_LE(n->start_sent_at, seam_election_valid_until(&o.election));
}

// Guards against a run that is given up while its start is under way.
TEST_F(Lanes, AnswerCountsForItsOwnOrderOnly)
{
	FakeRunners *n = w.add_node();
	FakeWorker *both[] = {w.add_worker("a"), w.add_worker("b")};

	w.runners.unreachable_workers = {"a", "b"};
	Owner o(&w, "n1");
	o.start_renewals();
	// Returns the worker that awaits an answer, with the lock held.
	auto waiting = [&] {
		seam_handle h = SEAM_HANDLE_NONE;
		seam_worker *x;

		while ((x = (seam_worker *)seam_table_next(o.sched->workers,
							   &h)))
			if (x->sent.length)
				break;
		return x;
	};
	// Returns when the start of the run was queued, with the lock held.
	auto queued_at = [&] {
		return scheduler_find_job(o.sched, ID)
			->task[0][0]
			.run[0]
			.sent_at;
	};
	ASSERT_TRUE(eventually([&] {
		pthread_mutex_lock(&o.sched->lock);
		int served = 0;
		seam_handle h = SEAM_HANDLE_NONE;
		while (auto *x = (seam_worker *)seam_table_next(
			       o.sched->workers, &h))
			served += x->lane == 1 && x->answered;
		pthread_mutex_unlock(&o.sched->lock);
		return served == 2;
	}));
	n->hold_events = true;
	for (auto *x : both)
		x->no_room = true;
	w.job(ID, 1, "lasts");
	ASSERT_TRUE(eventually(
		[&] { return both[0]->refusals + both[1]->refusals > 0; }));
	for (auto *x : both) {
		x->no_room = false;
		x->start_ms = 600;
	}
	usleep(50000);
	pthread_mutex_lock(&o.sched->lock);
	seam_worker *x = waiting();
	seam_time first = queued_at();
	if (x) {
		/* It leaves the lane and is given back to it. */
		int lane = x->lane;

		scheduler_lane_release(x);
		scheduler_lane_add(x, lane);
		scheduler_lane_wake(x);
	}
	pthread_mutex_unlock(&o.sched->lock);
	ASSERT_NE(x, nullptr);
	ASSERT_TRUE(eventually([&] { return w.starting > 0; }));
	usleep(200000);
	n->hold_events = false;
	usleep(2000000);
	EXPECT_EQ(w.running(), 1u);
	EXPECT_EQ(max_starts(), 1);
	EXPECT_EQ(w.twice, 0);
	pthread_mutex_lock(&o.sched->lock);
	EXPECT_EQ(queued_at(), first);
	pthread_mutex_unlock(&o.sched->lock);
}

// Guards against a second run by a start under way as a term is released.
TEST_F(Lanes, DelayedBatchOfAReleasedTermStartsNothingTwice)
{
	Owner o(&w, "n1", create_fleet(2, 10, 4));
	FakeRunners *n = w.nodes[0];

	o.start_renewals();
	w.job(ID, 80, "300");
	ASSERT_TRUE(job_completes());
	ASSERT_GT(n->start_sent_at, 0);
	n->orders_delay_ms = 500;
	w.job("00000000000000f2", 80, "lasts");
	usleep(200000);
	o.stop_renewals();
	seam_scheduler_stop(o.sched);
	seam_election_release(&o.election);
	Owner next(&w, "n2", 500, nullptr, true);
	next.start_renewals();
	ASSERT_TRUE(eventually([&] { return n->delayed_orders > 0; }));
	ASSERT_TRUE(eventually([&] { return w.running() == 80; }));
	usleep(500000);
	EXPECT_EQ(w.running(), 80u);
	EXPECT_EQ(w.twice, 0);
}

// Guards against the same on workers that the next owner does not reach.
TEST_F(Lanes, DelayedBatchOfAReleasedTermToUnreachedWorkers)
{
	Owner o(&w, "n1", create_fleet(2, 10, 4));
	FakeRunners *n = w.nodes[0];

	o.start_renewals();
	w.job(ID, 80, "300");
	ASSERT_TRUE(job_completes());
	ASSERT_GT(n->start_sent_at, 0);
	n->orders_delay_ms = 500;
	w.job("00000000000000f2", 80, "lasts");
	usleep(200000);
	pthread_mutex_lock(&o.sched->lock);
	{
		std::lock_guard<std::mutex> l(w.runners.processor);
		seam_handle h = SEAM_HANDLE_NONE;

		while (auto *x = (seam_worker *)seam_table_next(
			       o.sched->workers, &h))
			if (x->lane == 1)
				w.runners.unreachable_workers.insert(
					x->info.id);
	}
	pthread_mutex_unlock(&o.sched->lock);
	ASSERT_GT(w.runners.unreachable_workers.size(), 0u);
	o.stop_renewals();
	seam_scheduler_stop(o.sched);
	seam_election_release(&o.election);
	for (int i = 0; i < 6; i++)
		w.add_worker("x" + std::to_string(i));
	Owner next(&w, "n2", 500, nullptr, true);
	next.start_renewals();
	ASSERT_TRUE(eventually([&] { return n->delayed_orders > 0; }));
	usleep(200000);
	EXPECT_EQ(w.running(), 80u);
	usleep(8000000);
	EXPECT_EQ(w.running(), 80u);
	EXPECT_EQ(w.twice, 0);
}

// Guards against a worker that goes from node to node as answers are lost.
TEST_F(Lanes, SilentWorkerStaysOnALaneThatLosesAnswers)
{
	int moves[2];

	for (int lossy = 0; lossy < 2; lossy++) {
		create_fleet(lossy ? 1 : 3, 0, 0);
		std::string silent = lossy ? "s1" : "s0";
		FakeWorker *a = w.add_worker(lossy ? "a1" : "a0");
		FakeWorker *s = w.add_worker(silent);
		Owner o(&w, lossy ? "n2" : "n1", 500);
		auto lane = [&] {
			pthread_mutex_lock(&o.sched->lock);
			seam_worker *x =
				scheduler_find_worker(o.sched, silent.c_str());
			int l = x && x->contacted ? x->lane : -1;
			pthread_mutex_unlock(&o.sched->lock);
			return l;
		};

		o.start_renewals();
		ASSERT_TRUE(eventually([&] { return lane() >= 0; }));
		a->lost_starts_time_out = true;
		a->late_start_percent = lossy ? 70 : 0;
		s->no_room = true;
		w.job(lossy ? ID : "00000000000000f2", 400, "300");
		usleep(1000000);
		int before = lane();
		s->unresponsive = true;
		moves[lossy] = 0;
		for (int i = 0; i < 150; i++) {
			int now = lane();

			moves[lossy] += now >= 0 && now != before;
			before = now >= 0 ? now : before;
			usleep(10000);
		}
	}
	EXPECT_GT(moves[0], 0);
	EXPECT_EQ(moves[1], 0);
}

// Guards against a run that is lost as its worker stays on such a lane.
TEST_F(Lanes, WorkerThatOneLaneDoesNotReachKeepsItsRunBesideLoss)
{
	create_fleet(2, 0, 0);
	FakeWorker *s = w.add_worker("s");
	Owner o(&w, "n1", 12);
	auto lane = [&] {
		pthread_mutex_lock(&o.sched->lock);
		int l = scheduler_find_worker(o.sched, "s")->lane;
		pthread_mutex_unlock(&o.sched->lock);
		return l;
	};

	o.start_renewals();
	w.job(ID, 1, "60000");
	ASSERT_TRUE(eventually([&] { return s->running() == 1; }));
	s->no_room = true;
	for (int i = 0; i < 12; i++) {
		FakeWorker *x = w.add_worker("x" + std::to_string(i));

		x->lost_starts_time_out = true;
		x->late_start_percent = 30;
	}
	usleep(2000000);
	w.job("00000000000000f2", 900, "900");
	usleep(1500000);
	FakeRunners *n = lane() ? w.nodes[(size_t)lane() - 1] : &w.runners;
	{
		std::lock_guard<std::mutex> l(n->processor);
		n->unreachable_workers.insert("s");
	}
	usleep(6000000);
	EXPECT_EQ(w.started(std::string(ID) + ".0.0.0"), 1);
	EXPECT_EQ(s->running(), 1u);
}
