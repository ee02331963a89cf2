#ifndef HELD_TASK_H
#define HELD_TASK_H

// What an owner and its nodes hold of a task, for tests that ask why it does
// not run.
#include "process/dispatch_impl.h"
#include "process/scheduler_impl.h"
#include "tests/owner.h"

// Returns where the nodes have an order for the task: it waits in their queue,
// with or without calls so far, or a call is under way.
static inline std::string order_place(Owner *o, const std::string &task)
{
	std::vector<seam_dispatch *> all = {o->nodes.dispatch};
	std::string place = "under way";

	for (auto *n : o->world->nodes)
		all.push_back(n->dispatch);
	for (auto *d : all) {
		GHashTableIter i;
		gpointer x;

		pthread_mutex_lock(&d->lock);
		g_hash_table_iter_init(&i, d->worker_by_key);
		while (g_hash_table_iter_next(&i, nullptr, &x)) {
			auto *w = (seam_dispatch_worker *)x;

			for (GList *l = w->orders.head; l; l = l->next) {
				auto *q = (seam_dispatch_order *)l->data;

				if (task != q->order.task)
					continue;
				place = q->calls ? "unanswered" : "unsent";
				if (!w->answered)
					place += ", worker silent";
			}
		}
		pthread_mutex_unlock(&d->lock);
	}
	return place;
}

static inline std::string describe_run(seam_worker *w, const seam_run_slot *r)
{
	seam_time now = seam_now(w->sched->clock);
	char line[300];

	snprintf(line, sizeof(line),
		 " state=%d run=%lld worker=%s answered=%d unheard_ms=%lld "
		 "sent_ms=%lld late_ms=%lld orders=%u sent=%u stop=%d",
		 r->state, (long long)r->number, w->info.id, w->answered,
		 (long long)((now - w->heard_at) / SEAM_MSEC),
		 (long long)((now - r->sent_at) / SEAM_MSEC),
		 r->late_until ?
			 (long long)((r->late_until - now) / SEAM_MSEC) :
			 0,
		 w->orders.length, w->sent.length, r->stop);
	return line;
}

// Returns why a task without a run is not started; called with the lock.
static inline std::string idle_state(seam_scheduler *sched, seam_job *j,
				     int step, const seam_job_task_state *t,
				     std::string *detail)
{
	static const char *const reason[] = {"none", "turn", "room", "limit",
					     "unconfirmed"};
	seam_worker *late = scheduler_late_worker(sched, t);
	seam_time now = seam_now(sched->clock);
	char line[300];

	snprintf(line, sizeof(line),
		 " late_worker=%s late_ms=%lld late_starts=%d starts=%d",
		 late ? late->info.id : "",
		 late ? (long long)((t->late_until - now) / SEAM_MSEC) : 0,
		 t->late_starts, t->starts);
	*detail += line;
	if (scheduler_waits_for_late_worker(sched, j, step, t))
		return "waits for a late start";
	if (!scheduler_step_is_ready(j, step))
		return "step not ready";
	return std::string("idle, delay ") + reason[j->delay_reason];
}

static inline bool knows_job(Owner *o, const std::string &id)
{
	pthread_mutex_lock(&o->sched->lock);
	bool known = scheduler_find_job(o->sched, id.c_str());

	pthread_mutex_unlock(&o->sched->lock);
	return known;
}

// Returns the state of a task in a word or two, "" if it is done or its job is
// not known, and adds the state of its runs to @detail.
static inline std::string held_state(Owner *o, const std::string &task,
				     std::string *detail)
{
	static const char *const name[] = {"", "sent", "running",
					   "unconfirmed"};
	std::string state;
	seam_job *j;
	int step;
	int index;

	pthread_mutex_lock(&o->sched->lock);
	if (!scheduler_task_parse(o->sched, task.c_str(), &j, &step, &index) ||
	    j->row.done[step][index]) {
		pthread_mutex_unlock(&o->sched->lock);
		return "";
	}
	seam_job_task_state *t = &j->task[step][index];

	for (auto &r : t->run) {
		seam_worker *w = scheduler_worker(o->sched, r.worker);

		if (r.state == SEAM_RUN_FREE || !w)
			continue;
		state = name[r.state];
		state += w->answered ? "" : " on a silent worker";
		*detail += describe_run(w, &r);
	}
	if (state.empty())
		state = idle_state(o->sched, j, step, t, detail);
	pthread_mutex_unlock(&o->sched->lock);
	if (!state.compare(0, 4, "sent"))
		state += ", " + order_place(o, task);
	return state;
}

#endif
