/* Starts what can be started, in order of urgency. */
#include "process/board_impl.h"
#include "base/count.h"
#include "base/log.h"
#include "process/fit.h"
#include "process/urgency.h"

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
#define RUNS_PER_TERM 10000 /* run numbers grow with the term */

SEAM_COUNT(passes, "seam_passes_total", "Passes over the waiting tasks.");
SEAM_COUNT(waiting, "seam_tasks_waiting", "Tasks that could run but wait.");

/* A pool during one pass. */
struct pool {
	bool settled;
	bool full;
	struct seam_amount failed; /* a task this large found no room */
};

struct pass {
	struct seam_board *board;
	seam_time now;
	GHashTable *pools;
	bool bound; /* a worker was left out as its node has STARTS_MAX */
};

static struct pool *pool_of(struct pass *p, const char *name)
{
	struct pool *found = g_hash_table_lookup(p->pools, name);

	if (found)
		return found;
	found = g_new0(struct pool, 1);
	found->settled =
		p->now > p->board->unlisted_until || p->board->vms_read;
	g_hash_table_insert(p->pools, g_strdup(name), found);
	return found;
}

/*
 * A task of a job that was accepted before this term may run on a worker that
 * has not answered yet, until the lease that the last owner gave has run out.
 */
static void find_unsettled(struct pass *p)
{
	struct seam_board *b = p->board;
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;
	size_t i;

	if (p->now > b->unlisted_until)
		return;
	/* A worker whose row ran out may still be at work. */
	for (i = 0; i < b->vms; i++)
		if (b->vm[i].state == SEAM_PHASE_UP && *b->vm[i].worker &&
		    !g_hash_table_contains(b->worker_of, b->vm[i].worker))
			pool_of(p, b->vm[i].pool)->settled = false;
	while ((w = seam_table_next(b->workers, &h)))
		if (!w->heard)
			pool_of(p, w->info.pool)->settled = false;
}

static bool task_waits(const struct seam_job *j, int step, int64_t t,
		       seam_time now)
{
	return board_task_idle(j, step, t) &&
	       now >= j->task[step][t].not_before;
}

static bool has_label(const struct seam_worker *w, const char *label)
{
	int i;

	for (i = 0; i < w->info.labels; i++)
		if (!strcmp(w->info.label[i], label))
			return true;
	return false;
}

/* Whether a start may be sent to @w now. */
static bool may_start_on(struct pass *p, const struct seam_worker *w)
{
	struct seam_board *b = p->board;

	if (!board_worker_usable(w, p->now) || p->now < w->full_until ||
	    seam_op_state_is_out(b->op_state, w->info.dc) || w->lane < 0)
		return false;
	if (b->lane[w->lane].starting < STARTS_MAX)
		return true;
	p->bound = true;
	return false;
}

/* The choice of a worker for a task. */
struct choice {
	struct pass *pass;
	const struct seam_job *job;
	int step;
	const struct seam_job_task *task;
	struct seam_fit_task fit;
	GArray *workers; /* struct seam_fit_worker */
	GArray *handles; /* of the same, struct seam_handle */
};

/* Tasks on @w: those of one step, and the serving and filling ones. */
static void count_tasks(struct seam_board *b, const struct seam_worker *w,
			const struct choice *c, int *same,
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
		*same += seam_handle_eq(r->job, c->job->self) &&
			 r->step == c->step;
		f->serving += other->row.spec.step[r->step].target_ms > 0;
		f->filling += other->row.spec.step[r->step].fills;
	}
}

/* Describes @w for the task; false if it may not run it. */
static bool describe(const struct choice *c, const struct seam_worker *w,
		     struct seam_fit_worker *f)
{
	const struct seam_step *s = &c->job->row.spec.step[c->step];
	int same;
	int i;

	memset(f, 0, sizeof(*f));
	if ((*s->label && !has_label(w, s->label)) || !may_start_on(c->pass, w))
		return false;
	f->free.cpu = w->info.capacity.cpu - w->used.cpu;
	f->free.memory = w->info.capacity.memory - w->used.memory;
	f->free.gpu = w->info.capacity.gpu - w->used.gpu;
	if (s->per_worker || s->target_ms || s->fills) {
		count_tasks(c->pass->board, w, c, &same, f);
		if (s->per_worker && same >= s->per_worker)
			return false;
	}
	f->near = !*s->rack || has_label(w, s->rack);
	f->avoid = seam_handle_eq(c->task->avoid, w->self);
	f->slow = w->info.slow_ms > SEAM_SLOW_MIN_MS;
	for (i = 0; i < SEAM_COPIES; i++)
		if (c->task->run[i].state != SEAM_RUN_FREE &&
		    seam_handle_eq(c->task->run[i].worker, w->self))
			f->copy = true;
	return true;
}

/* Adds a worker to those that are compared; ends at one that will do. */
static bool add_worker(struct seam_handle h, struct choice *c)
{
	const struct seam_worker *w = board_worker(c->pass->board, h);
	struct seam_fit_worker f;

	if (!w || !describe(c, w, &f))
		return false;
	g_array_append_val(c->workers, f);
	g_array_append_val(c->handles, h);
	return !f.avoid && !f.copy && seam_fits(&c->fit.need, &f.free);
}

static bool add_first(struct seam_handle h, void *arg)
{
	return add_worker(h, arg);
}

static bool add_each(struct seam_handle h, void *arg)
{
	add_worker(h, arg);
	return false;
}

static const struct seam_fit_worker *best_of(const struct choice *c, int *i)
{
	const struct seam_fit_worker *f =
		(const struct seam_fit_worker *)(void *)c->workers->data;

	*i = seam_fit(&c->fit, f, c->workers->len);
	return *i < 0 ? NULL : &f[*i];
}

/*
 * A task whose place depends on the others there is held against each worker.
 * Any other goes near its data, or else to the fullest worker with room, one
 * that is slow last.
 */
static int compare_workers(struct choice *c)
{
	const struct seam_step *s = &c->job->row.spec.step[c->step];
	struct seam_rooms *rooms = c->pass->board->rooms;
	const char *pool = c->job->row.spec.pool;
	const struct seam_fit_worker *f;
	int best;
	int slow;

	if (s->per_worker || s->target_ms || s->fills || *s->label) {
		seam_rooms_labelled(rooms, pool, s->label, add_each, c);
		best_of(c, &best);
		return best;
	}
	if (*s->rack)
		seam_rooms_labelled(rooms, pool, s->rack, add_each, c);
	f = best_of(c, &best);
	for (slow = 0; slow < 2 && (!f || f->avoid); slow++) {
		seam_rooms_fullest(rooms, pool, s->need.cpu, slow, add_first,
				   c);
		f = best_of(c, &best);
	}
	return best;
}

static struct seam_worker *choose(struct pass *p, const struct seam_job *j,
				  int step, const struct seam_job_task *t)
{
	const struct seam_step *s = &j->row.spec.step[step];
	struct choice c = {
		.pass = p,
		.job = j,
		.step = step,
		.task = t,
		.fit = {board_step_need(s), s->target_ms > 0, s->fills},
		.workers = g_array_new(FALSE, FALSE,
				       sizeof(struct seam_fit_worker)),
		.handles =
			g_array_new(FALSE, FALSE, sizeof(struct seam_handle))};
	struct seam_worker *w = NULL;
	int best;

	p->bound = false;
	best = compare_workers(&c);
	if (best >= 0)
		w = board_worker(
			p->board,
			g_array_index(c.handles, struct seam_handle, best));
	g_array_free(c.workers, TRUE);
	g_array_free(c.handles, TRUE);
	return w;
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
	struct seam_amount limit = limit_of(p, j->row.spec.workspace);
	bool plain = !s->per_worker && !*s->label && !s->fills;
	int64_t t;

	while (j->first_idle[step] < s->tasks &&
	       !board_task_idle(j, step, j->first_idle[step]))
		j->first_idle[step]++;
	for (t = j->first_idle[step]; t < s->tasks; t++) {
		struct seam_worker *w;

		if (!task_waits(j, step, t, p->now))
			continue;
		if (p->board->starting >= STARTS_ALL_MAX)
			return SEAM_HELD_TURN;
		if (pool->full && plain && seam_fits(&pool->failed, &s->need))
			return SEAM_HELD_ROOM;
		if (!within_limit(j->used, &s->need, &limit))
			return SEAM_HELD_LIMIT;
		w = choose(p, j, step, &j->task[step][t]);
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
	}
	return SEAM_HELD_NONE;
}

static enum seam_held start_job(struct pass *p, struct seam_job *j)
{
	struct pool *pool = pool_of(p, j->row.spec.pool);
	enum seam_held held = SEAM_HELD_NONE;
	int i;

	if (j->old && !pool->settled)
		return SEAM_HELD_UNHEARD;
	for (i = 0; i < j->row.spec.steps; i++) {
		enum seam_held step = SEAM_HELD_NONE;

		if (j->idle[i] && board_step_open(j, i))
			step = start_step(p, pool, j, i);
		if (!held)
			held = step;
	}
	return held;
}

struct room_look {
	struct pass *pass;
	bool found;
};

static bool note_room(struct seam_handle h, void *arg)
{
	struct room_look *l = arg;
	const struct seam_worker *w = board_worker(l->pass->board, h);

	l->found = w && may_start_on(l->pass, w);
	return l->found;
}

/* Whether any worker of a pool has @cpu free. */
static bool has_room(struct pass *p, const char *pool, int64_t cpu)
{
	struct room_look l = {.pass = p};
	int slow;

	for (slow = 0; slow < 2 && !l.found; slow++)
		seam_rooms_fullest(p->board->rooms, pool, cpu, slow, note_room,
				   &l);
	return l.found;
}

/* Starts tasks in order of urgency; a pool is left when none can be started. */
static void start_jobs(struct pass *p)
{
	struct seam_board *b = p->board;
	struct seam_backlog_cursor c;
	struct seam_handle h;

	seam_backlog_begin(b->backlog, &c);
	while (b->starting < STARTS_ALL_MAX && seam_backlog_next(&c, &h)) {
		struct seam_job *j = board_job(b, h);
		enum seam_held held = start_job(p, j);

		board_job_held(j, held, p->now);
		if ((held == SEAM_HELD_ROOM || held == SEAM_HELD_TURN) &&
		    !has_room(p, j->row.spec.pool, seam_backlog_least(&c)))
			seam_backlog_skip_pool(&c);
	}
	seam_backlog_end(&c);
}

void board_pass(struct seam_board *b)
{
	struct pass p = {.board = b, .now = seam_now(b->clock)};

	p.pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	board_starts_expire(b, p.now);
	board_backlog_refresh(b, p.now);
	find_unsettled(&p);
	start_jobs(&p);
	seam_count_add(&passes, 1);
	seam_count_set(&waiting, b->waiting);
	b->meter.passes++;
	b->meter.pass_time += seam_now(b->clock) - p.now;
	board_load_log(b);
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
			board_pass(b);
	}
	pthread_mutex_unlock(&b->lock);
	return NULL;
}
