/* Delays of jobs and activity of the owner, for the log. */
#include "process/scheduler_impl.h"
#include "base/log.h"

#include <string.h>

#define LOAD_LOG_INTERVAL (1 * SEAM_SEC)

void scheduler_job_delayed(struct seam_job *j, enum seam_delay reason,
			   seam_time now)
{
	if (j->delay_reason != SEAM_DELAY_NONE)
		j->delay[j->delay_reason] += now - j->delayed_since;
	j->delay_reason = reason;
	j->delayed_since = now;
}

/*
 * Computes the number of tasks and the core milliseconds of a job from its
 * estimates.
 */
static void job_size(const struct seam_job *j, int64_t *tasks, int64_t *work_ms)
{
	int i;

	*tasks = 0;
	*work_ms = 0;
	for (i = 0; i < j->row.spec.steps; i++) {
		const struct seam_step *s = &j->row.spec.step[i];

		*tasks += s->tasks;
		*work_ms += s->tasks * s->need.cpu * s->estimate_ms / 1000;
	}
}

void scheduler_log_job(const struct seam_scheduler *sched,
		       const struct seam_job *j, const char *event)
{
	seam_time now = seam_now(sched->clock);
	int64_t tasks;
	int64_t work_ms;

	job_size(j, &tasks, &work_ms);
	seam_log(
		SEAM_INFO, "job",
		"event=%s job=%s queue=%s workspace=%s age_ms=%lld "
		"objective_ms=%lld tasks=%lld work_ms=%lld first_start_ms=%lld "
		"turn_ms=%lld room_ms=%lld limit_ms=%lld unheard_ms=%lld "
		"failures=%zu term=%llu",
		event, j->row.spec.id, j->row.spec.queue, j->row.spec.workspace,
		(long long)(now - j->accepted_at) / SEAM_MSEC,
		(long long)(j->due_at - j->accepted_at) / SEAM_MSEC,
		(long long)tasks, (long long)work_ms,
		j->first_start_at ?
			(long long)(j->first_start_at - j->accepted_at) /
				SEAM_MSEC :
			-1LL,
		(long long)j->delay[SEAM_DELAY_TURN] / SEAM_MSEC,
		(long long)j->delay[SEAM_DELAY_ROOM] / SEAM_MSEC,
		(long long)j->delay[SEAM_DELAY_LIMIT] / SEAM_MSEC,
		(long long)j->delay[SEAM_DELAY_UNCONFIRMED] / SEAM_MSEC,
		j->row.failures, (unsigned long long)sched->term);
}

/* Counts jobs by the reason of their delay. */
static void count_delayed(struct seam_scheduler *sched,
			  int n[SEAM_DELAY_REASONS])
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_job *j;

	memset(n, 0, SEAM_DELAY_REASONS * sizeof(*n));
	while ((j = seam_table_next(sched->jobs, &h)))
		n[j->delay_reason]++;
}

void scheduler_log_load(struct seam_scheduler *sched)
{
	struct seam_load_stats *m = &sched->load;
	seam_time now = seam_now(sched->clock);
	int delayed[SEAM_DELAY_REASONS];

	if (m->since && now < m->since + LOAD_LOG_INTERVAL)
		return;
	if (m->since) {
		count_delayed(sched, delayed);
		seam_log(SEAM_INFO, "owner",
			 "event=load over_ms=%lld jobs=%zu "
			 "waiting=%lld starting=%d starts=%lld start_ms=%lld "
			 "looks=%lld passes=%lld pass_ms=%lld turn=%d room=%d "
			 "limit=%d unheard=%d crowded=%d",
			 (long long)(now - m->since) / SEAM_MSEC,
			 seam_table_count(sched->jobs),
			 (long long)sched->waiting, sched->starting,
			 (long long)m->starts,
			 m->starts ? (long long)(m->start_time / m->starts) /
					     SEAM_MSEC :
				     0LL,
			 (long long)m->listings, (long long)m->passes,
			 (long long)m->pass_time / SEAM_MSEC,
			 delayed[SEAM_DELAY_TURN], delayed[SEAM_DELAY_ROOM],
			 delayed[SEAM_DELAY_LIMIT],
			 delayed[SEAM_DELAY_UNCONFIRMED], sched->overloaded);
	}
	*m = (struct seam_load_stats){.since = now};
}
