#include "request/submit.h"
#include "base/metrics.h"
#include "base/json.h"
#include "base/log.h"
#include "request/jobrow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reserved from the caller's deadline for sending the response. */
#define ANSWER_MARGIN (150 * SEAM_MSEC)
/* Retry delay for callers while the store does not respond. */
#define STORE_OUTAGE_RETRY_MS 1000
#define CANCEL_ATTEMPTS_MAX 8 /* repeated only after a conflict */
/* Retry delay for callers that cancel many jobs that are not stored. */
#define EARLY_CANCEL_RETRY_MS 1000

SEAM_METRIC(accepted, "seam_jobs_accepted_total", "Jobs accepted and stored.");
SEAM_METRIC(repeated, "seam_jobs_repeated_total",
	    "Jobs handed in again after they were accepted.");
SEAM_METRIC(refused, "seam_jobs_refused_total", "Calls answered by an error.");
SEAM_METRIC(cancelled, "seam_jobs_cancelled_total", "Jobs cancelled.");
SEAM_METRIC(early_cancels, "seam_early_cancels_total",
	    "Cancels of jobs that were not stored.");

/*
 * struct request - a call being served
 * @queue: copy of its queue, as the configuration may change meanwhile
 * @workspace: workspace of the caller's key, or ""
 * @id: id of the job, or "" for the queue itself
 */
struct request {
	struct seam_submit *front;
	struct seam_call *call;
	struct seam_job_queue queue;
	uint64_t version;
	char workspace[SEAM_NAME_SIZE];
	char id[SEAM_JOB_ID_SIZE];
	seam_time deadline;
};

static void refuse(struct request *r, const struct seam_err *e,
		   int64_t retry_ms)
{
	seam_metric_add(&refused, 1);
	seam_log(SEAM_INFO, "submit",
		 "event=refused method=%s job=%s queue=%s version=%llu "
		 "kind=%s run=%s why=\"%s\"",
		 r->call->method, r->id, r->queue.name,
		 (unsigned long long)r->version,
		 seam_err_kind_info(e->kind)->name,
		 seam_execution_name(seam_err_kind_info(e->kind)->run),
		 e->text);
	r->front->front->refuse(r->call, e, retry_ms);
}

/* Finds queue, workspace and job of a call, by the current configuration. */
static int resolve(struct request *r, const struct seam_catalog *c,
		   struct seam_err *e)
{
	const struct seam_front_ops *f = r->front->front;
	const char *key = f->key(r->call);
	const struct seam_job_workspace *w = NULL;
	const struct seam_job_queue *q;

	if (!c)
		return seam_fail(e, SEAM_STALE, "no configuration loaded yet");
	r->version = c->version;
	q = seam_catalog_route(c, f->host(r->call), r->call->path);
	if (!q)
		return seam_fail(e, SEAM_NOT_FOUND, "no such queue");
	r->queue = *q;
	if (key)
		w = seam_catalog_workspace_by_key(c, key);
	if (!w && !q->open)
		return seam_fail(e, SEAM_UNAUTHENTICATED, NULL);
	if (w)
		snprintf(r->workspace, sizeof(r->workspace), "%s", w->name);
	snprintf(r->id, sizeof(r->id), "%s", r->call->path + strlen(q->prefix));
	return 0;
}

/* Refuses features that are not implemented, instead of ignoring them. */
static int check_supported(const struct request *r,
			   const struct seam_jobspec *j, struct seam_err *e)
{
	int i;

	if (r->queue.needs_placement_advice)
		return seam_fail(e, SEAM_BUSY,
				 "queues with placement advice are not "
				 "supported");
	if (j->repeats)
		return seam_fail(e, SEAM_BUSY,
				 "repeated jobs are not supported");
	for (i = 0; i < j->steps; i++)
		if (j->step[i].gang)
			return seam_fail(e, SEAM_BUSY,
					 "gang scheduling is not supported");
	return 0;
}

static int read_spec(struct request *r, struct seam_jobspec *j,
		     struct seam_err *e)
{
	memset(j, 0, sizeof(*j));
	if (r->front->front->spec(r->call->body, r->call->len, j, e))
		return -1;
	snprintf(j->id, sizeof(j->id), "%s", r->id);
	snprintf(j->queue, sizeof(j->queue), "%s", r->queue.name);
	snprintf(j->pool, sizeof(j->pool), "%s", r->queue.pool);
	snprintf(j->workspace, sizeof(j->workspace), "%s", r->workspace);
	j->attempts = r->queue.attempts;
	if (seam_jobspec_check(j, e))
		return -1;
	return check_supported(r, j, e);
}

/* Requires that the job was not cancelled before, also if it is stored late. */
static int store_job(struct request *r, const struct seam_jobspec *spec,
		     struct seam_err *e)
{
	struct seam_jobrow row = {.spec = *spec,
				  .state = SEAM_JOB_QUEUED,
				  .accepted_ms = seam_wall_ms()};
	char *text = seam_jobrow_serialize(&row);
	char key[SEAM_KEY_MAX];
	char cancel[SEAM_KEY_MAX];
	struct seam_write w[2] = {{SEAM_PUT, key, SEAM_ABSENT, text, 0},
				  {SEAM_CHECK, cancel, SEAM_ABSENT, NULL, 0}};
	struct seam_commit c = {w, 2, 0, 0};
	int rc;

	if (!text)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	w[0].len = strlen(text);
	seam_jobrow_key(spec->id, key);
	seam_early_cancel_key(spec->id, spec->queue, spec->workspace, cancel);
	if (w[0].len > SEAM_JOB_ROW_BYTES_MAX)
		rc = seam_fail(e, SEAM_BAD_REQUEST,
			       "job: takes %zu bytes in the store, over %d",
			       w[0].len, SEAM_JOB_ROW_BYTES_MAX);
	else
		rc = seam_store_commit_retry(r->front->store, r->front->clock,
					     &c, r->deadline, e);
	free(text);
	return rc;
}

/*
 * Reads the row of the job: SEAM_NOT_FOUND if there is none, SEAM_GONE if it
 * belongs to another queue or workspace. Callers get the same answer for both,
 * so that they do not learn what others have.
 */
static int read_job(struct request *r, struct seam_row *row,
		    struct seam_jobrow *j, struct seam_err *e)
{
	char key[SEAM_KEY_MAX];

	memset(row, 0, sizeof(*row));
	seam_jobrow_key(r->id, key);
	if (seam_store_get(r->front->store, key, row, r->deadline, e))
		return -1;
	if (seam_jobrow_parse(row, j, e)) {
		seam_row_free(row);
		return -1;
	}
	if (!strcmp(j->spec.queue, r->queue.name) &&
	    !strcmp(j->spec.workspace, r->workspace))
		return 0;
	seam_jobrow_free(j);
	seam_row_free(row);
	return seam_fail(e, SEAM_GONE, NULL);
}

/*
 * Returns 0 and the state of the job if a submission that met a row is a
 * repetition of the one that stored it. Otherwise it is not stored, unless the
 * row cannot be read now.
 */
static int find_repeated(struct request *r, enum seam_job_state *state,
			 struct seam_err *e)
{
	struct seam_jobrow j;
	struct seam_row row;

	seam_err_clear(e);
	if (!read_job(r, &row, &j, e)) {
		*state = (enum seam_job_state)j.state;
		seam_jobrow_free(&j);
		seam_row_free(&row);
		return 0;
	}
	switch (e->kind) {
	case SEAM_NOT_FOUND:
		return seam_fail(e, SEAM_CANCELLED, NULL);
	case SEAM_GONE:
	case SEAM_BAD_REQUEST: /* the row is damaged */
		return seam_fail(e, SEAM_CONFLICT, "id: in use");
	default:
		return seam_fail(e, SEAM_COMMIT_UNKNOWN,
				 "the job cannot be read");
	}
}

static void submit(struct request *r)
{
	enum seam_job_state state = SEAM_JOB_QUEUED;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_jobspec j;
	int64_t retry_ms = 0;

	if (read_spec(r, &j, &e) ||
	    (r->front->check_capacity &&
	     r->front->check_capacity(r->front->check_capacity_arg, &r->queue,
				      &j, &retry_ms, &e))) {
		refuse(r, &e, retry_ms);
	} else if (!store_job(r, &j, &e)) {
		seam_metric_add(&accepted, 1);
		seam_log(SEAM_INFO, "submit",
			 "event=accepted job=%s queue=%s workspace=%s "
			 "version=%llu steps=%d",
			 r->id, r->queue.name, r->workspace,
			 (unsigned long long)r->version, j.steps);
		r->front->front->state(r->call, SEAM_JOB_QUEUED);
	} else if (e.kind != SEAM_CONFLICT) {
		refuse(r, &e,
		       e.kind == SEAM_BAD_REQUEST ? 0 : STORE_OUTAGE_RETRY_MS);
	} else if (!find_repeated(r, &state, &e)) {
		seam_metric_add(&repeated, 1);
		r->front->front->state(r->call, state);
	} else {
		refuse(r, &e, 0);
	}
	seam_jobspec_free(&j);
}

static void show_job(struct request *r)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_jobrow j;
	struct seam_row row;

	if (read_job(r, &row, &j, &e)) {
		if (e.kind == SEAM_NOT_FOUND)
			seam_fail(&e, SEAM_GONE, NULL);
		refuse(r, &e, 0);
		return;
	}
	r->front->front->state(r->call, j.state);
	seam_jobrow_free(&j);
	seam_row_free(&row);
}

/* Writes the cancelled state, on condition that the row is unchanged. */
static int write_cancelled(struct request *r, const struct seam_row *row,
			   struct seam_jobrow *j, struct seam_err *e)
{
	struct seam_write w = {SEAM_PUT, row->key, row->version, NULL, 0};
	struct seam_commit c = {&w, 1, 0, 0};
	char *text;
	int rc;

	j->state = SEAM_JOB_CANCELLED;
	j->ended_ms = seam_wall_ms();
	text = seam_jobrow_serialize(j);
	if (!text)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	w.data = text;
	w.len = strlen(text);
	rc = seam_store_commit_retry(r->front->store, r->front->clock, &c,
				     r->deadline, e);
	free(text);
	return rc;
}

/*
 * Cancels a job that is not stored: its submission may be under way. Fails with
 * SEAM_GONE once no such submission can be stored any more. Nothing is written
 * if a job of another queue or workspace has @taken the id.
 */
static int cancel_early(struct request *r, bool taken, struct seam_err *e)
{
	char key[SEAM_KEY_MAX];
	char job[SEAM_KEY_MAX];
	const struct seam_write w[2] = {
		{SEAM_PUT, key, SEAM_ANY_VERSION, "", 0},
		{SEAM_CHECK, job, SEAM_ABSENT, NULL, 0}};
	struct seam_commit c = {w, 2, 0, 0};

	if (!seam_job_id_is_valid(r->id))
		return seam_fail(e, SEAM_GONE, NULL);
	if (!seam_early_cancel_admit(&r->front->early_cancels, r->queue.name,
				     r->workspace, seam_now(r->front->clock)))
		return seam_fail(e, SEAM_OVER_LIMIT,
				 "too many cancels of unknown jobs");
	if (taken)
		return seam_fail(e, SEAM_GONE, NULL);
	seam_early_cancel_key(r->id, r->queue.name, r->workspace, key);
	seam_jobrow_key(r->id, job);
	if (seam_store_commit_retry(r->front->store, r->front->clock, &c,
				    r->deadline, e))
		return -1;
	seam_metric_add(&early_cancels, 1);
	return seam_fail(e, SEAM_GONE, NULL);
}

/* Returns 0 if the job's state is final, -1 with SEAM_CONFLICT to retry. */
static int try_cancel(struct request *r, enum seam_job_state *state,
		      struct seam_err *e)
{
	struct seam_jobrow j;
	struct seam_row row;
	int rc = 0;

	if (read_job(r, &row, &j, e)) {
		if (e->kind != SEAM_NOT_FOUND && e->kind != SEAM_GONE)
			return -1;
		return cancel_early(r, e->kind == SEAM_GONE, e);
	}
	if (!seam_job_finished(j.state)) {
		rc = write_cancelled(r, &row, &j, e);
		if (!rc)
			seam_metric_add(&cancelled, 1);
	}
	*state = (enum seam_job_state)j.state;
	seam_jobrow_free(&j);
	seam_row_free(&row);
	return rc;
}

static void cancel(struct request *r)
{
	enum seam_job_state state = SEAM_JOB_CANCELLED;
	struct seam_err e = SEAM_ERR_INIT;
	int i;
	int rc = -1;

	for (i = 0; i < CANCEL_ATTEMPTS_MAX; i++) {
		seam_err_clear(&e);
		rc = try_cancel(r, &state, &e);
		if (!rc || e.kind != SEAM_CONFLICT)
			break;
	}
	if (rc) {
		refuse(r, &e,
		       e.kind == SEAM_OVER_LIMIT ? EARLY_CANCEL_RETRY_MS : 0);
		return;
	}
	seam_log(SEAM_INFO, "submit", "event=cancelled job=%s queue=%s", r->id,
		 r->queue.name);
	r->front->front->state(r->call, state);
}

static void show_pending(struct request *r)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o;
	struct seam_row row;

	if (seam_store_get(r->front->store, SEAM_PENDING_ROW, &row, r->deadline,
			   &e)) {
		if (e.kind == SEAM_NOT_FOUND)
			r->front->front->pending(r->call, 0);
		else
			refuse(r, &e, 0);
		return;
	}
	o = json_tokener_parse(row.data);
	r->front->front->pending(r->call, seam_json_int(o, r->queue.name, 0));
	json_object_put(o);
	seam_row_free(&row);
}

static void serve(struct request *r)
{
	const char *method = r->call->method;
	struct seam_err e = SEAM_ERR_INIT;

	if (!strcmp(method, "GET") && !*r->id)
		show_pending(r);
	else if (!strcmp(method, "POST"))
		submit(r);
	else if (!strcmp(method, "GET"))
		show_job(r);
	else if (!strcmp(method, "DELETE"))
		cancel(r);
	else {
		seam_fail(&e, SEAM_BAD_REQUEST, "method %s not accepted",
			  method);
		refuse(r, &e, 0);
	}
}

void seam_submit_serve(struct seam_call *c, void *arg)
{
	struct seam_submit *s = arg;
	struct request r = {.front = s, .call = c};
	struct seam_err e = SEAM_ERR_INIT;
	int rc;

	r.deadline = s->front->deadline(c) - ANSWER_MARGIN;
	rc = resolve(&r, seam_catalog_read_lock(s->catalog), &e);
	seam_catalog_read_unlock();
	if (rc) {
		refuse(&r, &e, 0);
	} else if (s->store_unreachable && s->store_unreachable(s->store)) {
		/* Fail fast instead of waiting until the caller's deadline. */
		seam_fail(&e, SEAM_UNAVAILABLE, "the store is away");
		refuse(&r, &e, STORE_OUTAGE_RETRY_MS);
	} else {
		serve(&r);
	}
}
