/* What holds tasks up, and what the owner does in a second. */
#include "process/board_impl.h"
#include "base/log.h"

#include <string.h>

#define LOAD_LINE_GAP (1 * SEAM_SEC)

void board_job_held(struct seam_job *j, enum seam_held by, seam_time now)
{
	if (j->held_by != SEAM_HELD_NONE)
		j->held[j->held_by] += now - j->held_since;
	j->held_by = by;
	j->held_since = now;
}

/* Tasks and core milliseconds of a job, by its estimates. */
static void size_of(const struct seam_job *j, int64_t *tasks, int64_t *work_ms)
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

void board_job_log(const struct seam_board *b, const struct seam_job *j,
		   const char *event)
{
	seam_time now = seam_now(b->clock);
	int64_t tasks;
	int64_t work_ms;

	size_of(j, &tasks, &work_ms);
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
		(long long)j->held[SEAM_HELD_TURN] / SEAM_MSEC,
		(long long)j->held[SEAM_HELD_ROOM] / SEAM_MSEC,
		(long long)j->held[SEAM_HELD_LIMIT] / SEAM_MSEC,
		(long long)j->held[SEAM_HELD_UNHEARD] / SEAM_MSEC,
		j->row.failures, (unsigned long long)b->term);
}

/* Jobs that each reason holds up. */
static void count_held(struct seam_board *b, int n[SEAM_HELD_REASONS])
{
	struct seam_handle h = SEAM_NONE;
	struct seam_job *j;

	memset(n, 0, SEAM_HELD_REASONS * sizeof(*n));
	while ((j = seam_table_next(b->jobs, &h)))
		n[j->held_by]++;
}

void board_load_log(struct seam_board *b)
{
	struct seam_load_meter *m = &b->meter;
	seam_time now = seam_now(b->clock);
	int held[SEAM_HELD_REASONS];

	if (m->since && now < m->since + LOAD_LINE_GAP)
		return;
	if (m->since) {
		count_held(b, held);
		seam_log(SEAM_INFO, "owner",
			 "event=load over_ms=%lld jobs=%zu "
			 "waiting=%lld starting=%d starts=%lld start_ms=%lld "
			 "looks=%lld passes=%lld pass_ms=%lld turn=%d room=%d "
			 "limit=%d unheard=%d crowded=%d",
			 (long long)(now - m->since) / SEAM_MSEC,
			 seam_table_count(b->jobs), (long long)b->waiting,
			 b->starting, (long long)m->starts,
			 m->starts ? (long long)(m->start_time / m->starts) /
					     SEAM_MSEC :
				     0LL,
			 (long long)m->looks, (long long)m->passes,
			 (long long)m->pass_time / SEAM_MSEC,
			 held[SEAM_HELD_TURN], held[SEAM_HELD_ROOM],
			 held[SEAM_HELD_LIMIT], held[SEAM_HELD_UNHEARD],
			 b->crowded);
	}
	*m = (struct seam_load_meter){.since = now};
}
