/* Starts what can be started, in order of urgency. */
#include "process/board_impl.h"
#include "base/count.h"
#include "base/log.h"
#include "process/fit.h"
#include "process/urgency.h"

#include <stdlib.h>
#include <string.h>

/* Pause before a pass, for news that come together. */
#define GATHER_USEC 8000
#define IDLE (100 * SEAM_MSEC) /* between passes without news */
/* A start that waits longer for its connection is placed anew. */
#define START_QUEUE (600 * SEAM_MSEC)
/* Starts of one node that wait for an answer. More than its processor can send
 * only queue behind each other, where a more urgent one can't pass them. */
#define STARTS_MAX 64
/* The same of all nodes: what the owner can take in a tenth of a second. */
#define STARTS_ALL_MAX 256
/* A start that waits longer is with a worker that does not answer. */
#define START_FRESH (300 * SEAM_MSEC)
#define RUNS_PER_TERM 10000 /* run numbers grow with the term */
/* A worker that stays slow for longer after its start is taken last. */
#define SLOW_MIN_MS 200

SEAM_COUNT(passes, "seam_passes_total", "Passes over the waiting tasks.");
SEAM_COUNT(waiting, "seam_tasks_waiting", "Tasks that could run but wait.");

/* A pool during one pass. */
struct pool {
	GPtrArray *workers;
	bool settled;
	struct seam_amount failed; /* a task this large found no room */
	bool full;
};

/* A job that has tasks to start. */
struct entry {
	struct seam_urgency urgency;
	struct seam_job *job;
};

struct pass {
	struct seam_board *board;
	seam_time now;
	GHashTable *pools;
	GHashTable *used; /* workspace to struct seam_amount */
	GArray *entries;
	int64_t waiting;
	int starting; /* starts that wait for an answer */
	bool bound; /* a worker was left out as its node has STARTS_MAX */
};

static void free_pool(void *arg)
{
	struct pool *p = arg;

	g_ptr_array_free(p->workers, TRUE);
	g_free(p);
}

static struct pool *pool_of(struct pass *p, const char *name)
{
	struct pool *found = g_hash_table_lookup(p->pools, name);

	if (found)
		return found;
	found = g_new0(struct pool, 1);
	found->workers = g_ptr_array_new();
	found->settled =
		p->now > p->board->unlisted_until || p->board->vms_read;
	g_hash_table_insert(p->pools, g_strdup(name), found);
	return found;
}

/*
 * A task of a job that was accepted before this term may run on a worker that
 * has not answered yet, until the lease that the last owner gave has run out.
 */
static void gather_workers(struct pass *p)
{
	struct seam_board *b = p->board;
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;
	size_t i;

	/* A worker whose row ran out may still be at work. */
	for (i = 0; i < b->vms && p->now <= b->unlisted_until; i++)
		if (b->vm[i].state == SEAM_PHASE_UP && *b->vm[i].worker &&
		    !g_hash_table_contains(b->worker_of, b->vm[i].worker))
			pool_of(p, b->vm[i].pool)->settled = false;
	b->busy = 0;
	while ((w = seam_table_next(b->workers, &h))) {
		struct pool *pool = pool_of(p, w->info.pool);

		b->busy += w->ref->len > 0;
		if (!w->heard && p->now <= b->unlisted_until)
			pool->settled = false;
		if (board_worker_usable(w, p->now) && p->now >= w->full_until &&
		    !seam_op_state_is_out(b->op_state, w->info.dc))
			g_ptr_array_add(pool->workers, w);
	}
}

static struct seam_amount *used_of(struct pass *p, const char *workspace)
{
	struct seam_amount *a = g_hash_table_lookup(p->used, workspace);

	if (a)
		return a;
	a = g_new0(struct seam_amount, 1);
	g_hash_table_insert(p->used, g_strdup(workspace), a);
	return a;
}

static bool task_waits(const struct seam_job *j, int step, int64_t t,
		       seam_time now)
{
	const struct seam_job_task *task = &j->task[step][t];

	return !j->row.done[step][t] && !board_task_runs(task) &&
	       now >= task->not_before;
}

/* Counts the starts of a task that wait for an answer, by their lanes. */
static void count_starting(struct pass *p, const struct seam_job_task *t)
{
	struct seam_board *b = p->board;
	int i;

	for (i = 0; i < SEAM_COPIES; i++) {
		const struct seam_worker *w;

		if (t->run[i].state != SEAM_RUN_SENT ||
		    p->now >= t->run[i].sent_at + START_FRESH)
			continue;
		w = board_worker(b, t->run[i].worker);
		p->starting++;
		if (w && w->lane >= 0)
			b->lane[w->lane].starting++;
	}
}

/* Counts what a job has running and whether it has tasks to start. */
static bool survey_job(struct pass *p, struct seam_job *j)
{
	struct seam_amount *used = used_of(p, j->row.spec.workspace);
	bool wants = false;
	int64_t t;
	int i;

	for (i = 0; i < j->row.spec.steps; i++) {
		const struct seam_step *s = &j->row.spec.step[i];
		bool open = board_step_open(j, i);

		for (t = 0; t < s->tasks; t++) {
			int n = board_task_runs(&j->task[i][t]);

			count_starting(p, &j->task[i][t]);
			used->cpu += n * s->need.cpu;
			used->memory += n * s->need.memory;
			used->gpu += n * s->need.gpu;
			if (open && task_waits(j, i, t, p->now)) {
				wants = true;
				p->waiting++;
			}
		}
	}
	return wants && !seam_job_over(j->row.state);
}

static void gather_jobs(struct pass *p)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_job *j;
	int i;

	for (i = 0; i < p->board->lanes; i++)
		p->board->lane[i].starting = 0;
	while ((j = seam_table_next(p->board->jobs, &h))) {
		struct entry e = {.job = j};

		if (!survey_job(p, j)) {
			board_job_held(j, SEAM_HELD_NONE, p->now);
			continue;
		}
		board_job_urgency(j, &e.urgency);
		g_array_append_val(p->entries, e);
	}
}

static int by_urgency(const void *a, const void *b, void *arg)
{
	const struct pass *p = arg;

	return seam_urgency_before(&((const struct entry *)a)->urgency,
				   &((const struct entry *)b)->urgency, p->now,
				   p->board->crowded);
}

static bool has_label(const struct seam_worker *w, const char *label)
{
	int i;

	for (i = 0; i < w->info.labels; i++)
		if (!strcmp(w->info.label[i], label))
			return true;
	return false;
}

/* Tasks on @w: those of one step, and the serving and filling ones. */
static void count_tasks(struct seam_board *b, const struct seam_worker *w,
			const struct seam_job *j, int step, int *same,
			struct seam_fit_worker *f)
{
	guint i;

	*same = 0;
	for (i = 0; i < w->ref->len; i++) {
		const struct seam_task_ref *r =
			&g_array_index(w->ref, struct seam_task_ref, i);
		const struct seam_job *other = board_job(b, r->job);

		if (!other)
			continue;
		*same += seam_handle_eq(r->job, j->self) && r->step == step;
		f->serving += other->row.spec.step[r->step].target_ms > 0;
		f->filling += other->row.spec.step[r->step].fills;
	}
}

/* Describes @w for a task; false if it may not run it. */
static bool describe(struct pass *p, const struct seam_worker *w,
		     const struct seam_job *j, int step,
		     const struct seam_job_task *t, struct seam_fit_worker *f)
{
	const struct seam_step *s = &j->row.spec.step[step];
	int same;
	int i;

	memset(f, 0, sizeof(*f));
	if (*s->label && !has_label(w, s->label))
		return false;
	if (w->lane < 0)
		return false;
	if (p->board->lane[w->lane].starting >= STARTS_MAX) {
		p->bound = true;
		return false;
	}
	f->free.cpu = w->info.capacity.cpu - w->used.cpu;
	f->free.memory = w->info.capacity.memory - w->used.memory;
	f->free.gpu = w->info.capacity.gpu - w->used.gpu;
	if (s->per_worker || s->target_ms || s->fills) {
		count_tasks(p->board, w, j, step, &same, f);
		if (s->per_worker && same >= s->per_worker)
			return false;
	}
	f->near = !*s->rack || has_label(w, s->rack);
	f->avoid = seam_handle_eq(t->avoid, w->self);
	f->slow = w->info.slow_ms > SLOW_MIN_MS;
	for (i = 0; i < SEAM_COPIES; i++)
		if (t->run[i].state != SEAM_RUN_FREE &&
		    seam_handle_eq(t->run[i].worker, w->self))
			f->copy = true;
	return true;
}

static struct seam_worker *choose(struct pass *p, struct pool *pool,
				  const struct seam_job *j, int step,
				  const struct seam_job_task *t)
{
	const struct seam_step *s = &j->row.spec.step[step];
	struct seam_fit_task task = {.need = board_step_need(s),
				     .serves = s->target_ms > 0,
				     .fills = s->fills};
	struct seam_fit_worker *f =
		g_new(struct seam_fit_worker, pool->workers->len + 1);
	guint *index = g_new(guint, pool->workers->len + 1);
	size_t n = 0;
	guint i;
	int best;

	p->bound = false;
	for (i = 0; i < pool->workers->len; i++)
		if (describe(p, g_ptr_array_index(pool->workers, i), j, step, t,
			     &f[n]))
			index[n++] = i;
	best = seam_fit(&task, f, n);
	i = best < 0 ? 0 : index[best];
	g_free(f);
	g_free(index);
	return best < 0 ? NULL : g_ptr_array_index(pool->workers, i);
}

static bool within_limit(const struct seam_amount *used,
			 const struct seam_amount *need,
			 const struct seam_amount *limit)
{
	return (!limit->cpu || used->cpu + need->cpu <= limit->cpu) &&
	       (!limit->memory ||
		used->memory + need->memory <= limit->memory) &&
	       (!limit->gpu || used->gpu + need->gpu <= limit->gpu);
}

static struct seam_amount limit_of(struct pass *p, const char *workspace)
{
	const struct seam_catalog *c = seam_catalog_enter(p->board->catalog);
	const struct seam_job_workspace *w =
		c ? seam_catalog_workspace(c, workspace) : NULL;
	struct seam_amount limit = {0, 0, 0};

	if (w)
		limit = w->limit;
	seam_catalog_leave();
	return limit;
}

static void start_task(struct pass *p, struct seam_worker *w,
		       struct seam_job *j, int step, int task)
{
	struct seam_job_task *t = &j->task[step][task];
	struct seam_order o = {.kind = SEAM_ORDER_START,
			       .ref = {j->self, step, task},
			       .deadline = p->now + START_QUEUE};

	o.run = (int64_t)p->board->term * RUNS_PER_TERM + ++t->starts;
	if (!board_run_add(p->board, j, step, task, w, o.run, SEAM_RUN_SENT))
		return;
	board_task_name(j, step, task, o.name);
	board_order(w, &o);
}

/* Starts tasks of one step; returns what holds up the first that waits. */
static enum seam_held start_step(struct pass *p, struct pool *pool,
				 struct seam_job *j, int step)
{
	const struct seam_step *s = &j->row.spec.step[step];
	struct seam_amount *used = used_of(p, j->row.spec.workspace);
	struct seam_amount limit = limit_of(p, j->row.spec.workspace);
	bool plain = !s->per_worker && !*s->label && !s->fills;
	int64_t t;

	for (t = 0; t < s->tasks; t++) {
		struct seam_worker *w;

		if (!task_waits(j, step, t, p->now))
			continue;
		if (p->starting >= STARTS_ALL_MAX)
			return SEAM_HELD_TURN;
		if (pool->full && plain && seam_fits(&pool->failed, &s->need))
			return SEAM_HELD_ROOM;
		if (!within_limit(used, &s->need, &limit))
			return SEAM_HELD_LIMIT;
		w = choose(p, pool, j, step, &j->task[step][t]);
		if (!w && p->bound)
			return SEAM_HELD_TURN;
		if (!w) {
			if (plain) {
				pool->full = true;
				pool->failed = s->need;
			}
			return SEAM_HELD_ROOM;
		}
		start_task(p, w, j, step, (int)t);
		p->starting++;
		p->board->lane[w->lane].starting++;
		used->cpu += s->need.cpu;
		used->memory += s->need.memory;
		used->gpu += s->need.gpu;
	}
	return SEAM_HELD_NONE;
}

static void start_job(struct pass *p, struct seam_job *j)
{
	struct pool *pool = pool_of(p, j->row.spec.pool);
	enum seam_held held = SEAM_HELD_NONE;
	int i;

	if (j->old && !pool->settled) {
		board_job_held(j, SEAM_HELD_UNHEARD, p->now);
		return;
	}
	for (i = 0; i < j->row.spec.steps; i++) {
		enum seam_held step = SEAM_HELD_NONE;

		if (j->left[i] && board_step_open(j, i))
			step = start_step(p, pool, j, i);
		if (!held)
			held = step;
	}
	board_job_held(j, held, p->now);
}

static void run_pass(struct seam_board *b)
{
	struct pass p = {.board = b, .now = seam_now(b->clock)};
	guint i;

	p.pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_pool);
	p.used = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p.entries = g_array_new(FALSE, FALSE, sizeof(struct entry));
	gather_workers(&p);
	gather_jobs(&p);
	g_array_sort_with_data(p.entries, by_urgency, &p);
	for (i = 0; i < p.entries->len; i++)
		start_job(&p, g_array_index(p.entries, struct entry, i).job);
	seam_count_add(&passes, 1);
	seam_count_set(&waiting, p.waiting);
	b->meter.passes++;
	b->meter.pass_time += seam_now(b->clock) - p.now;
	board_load_log(b, p.waiting, p.starting);
	g_array_free(p.entries, TRUE);
	g_hash_table_destroy(p.used);
	g_hash_table_destroy(p.pools);
}

void *board_pass_loop(void *arg)
{
	struct seam_board *b = arg;

	pthread_mutex_lock(&b->lock);
	while (!b->stop) {
		if (!b->pass_due)
			seam_wait(b->clock, &b->pass_wake, &b->lock,
				  seam_now(b->clock) + IDLE);
		pthread_mutex_unlock(&b->lock);
		g_usleep(GATHER_USEC);
		pthread_mutex_lock(&b->lock);
		b->pass_due = false;
		if (!b->stop && seam_lead_valid(b->lead, seam_now(b->clock)))
			run_pass(b);
	}
	pthread_mutex_unlock(&b->lock);
	return NULL;
}
