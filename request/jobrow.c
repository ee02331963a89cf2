#include "request/jobrow.h"
#include "base/json.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Rejects the number of a row that cannot be ours. */
#define PROGRESS_ROWS_MAX 100000

static const char *const state_names[] = {
	[SEAM_JOB_QUEUED] = "queued",	    [SEAM_JOB_RUNNING] = "running",
	[SEAM_JOB_COMPLETED] = "completed", [SEAM_JOB_FAILED] = "failed",
	[SEAM_JOB_CANCELLED] = "cancelled",
};

void seam_jobrow_key(const char *id, char key[SEAM_KEY_MAX])
{
	snprintf(key, SEAM_KEY_MAX, SEAM_JOB_ROW_PREFIX "%c/%s", id[0], id);
}

const char *seam_jobrow_id(const char *key)
{
	const char *slash = strrchr(key, '/');

	return slash ? slash + 1 : key;
}

void seam_progress_key(const char *id, size_t row, char key[SEAM_KEY_MAX])
{
	int n = snprintf(key, SEAM_KEY_MAX, SEAM_PROGRESS_ROW_PREFIX "%c/%s",
			 id[0], id);

	if (row)
		snprintf(key + n, SEAM_KEY_MAX - (size_t)n, ".%zu", row);
}

bool seam_progress_parse_key(const char *key, char id[SEAM_JOB_ID_SIZE],
			     size_t *row)
{
	const char *name = seam_jobrow_id(key);
	guint64 number;

	if (strlen(name) < SEAM_JOB_ID_DIGITS)
		return false;
	g_strlcpy(id, name, SEAM_JOB_ID_DIGITS + 1);
	name += SEAM_JOB_ID_DIGITS;
	*row = 0;
	if (!*name)
		return true;
	if (*name != '.' ||
	    !g_ascii_string_to_unsigned(name + 1, 10, 1, PROGRESS_ROWS_MAX,
					&number, NULL))
		return false;
	*row = (size_t)number;
	return true;
}

size_t seam_progress_rows(const struct seam_jobrow *j)
{
	return j->failures ?
		       (j->failures - 1) / SEAM_PROGRESS_FAILURES_MAX + 1 :
		       1;
}

size_t seam_progress_failures(const struct seam_jobrow *j, size_t row)
{
	size_t first = row * SEAM_PROGRESS_FAILURES_MAX;

	return j->failures > first ?
		       MIN(j->failures - first, SEAM_PROGRESS_FAILURES_MAX) :
		       0;
}

void seam_jobrow_merge(struct seam_jobrow *j, const struct seam_jobrow *from)
{
	int64_t t;
	size_t n;
	int i;

	for (i = 0; i < j->spec.steps && i < from->spec.steps; i++)
		for (t = 0;
		     t < j->spec.step[i].tasks && t < from->spec.step[i].tasks;
		     t++)
			j->done[i][t] |= from->done[i][t];
	for (n = 0; n < from->failures; n++)
		seam_jobrow_add_failed(j, &from->failed[n]);
}

int seam_jobrow_alloc_done(struct seam_jobrow *j)
{
	int i;

	j->done = calloc((size_t)j->spec.steps + 1, sizeof(*j->done));
	if (!j->done)
		return -1;
	for (i = 0; i < j->spec.steps; i++) {
		j->done[i] = calloc((size_t)j->spec.step[i].tasks + 1, 1);
		if (!j->done[i])
			return -1;
	}
	return 0;
}

void seam_jobrow_free(struct seam_jobrow *j)
{
	int i;

	for (i = 0; j->done && i < j->spec.steps; i++)
		free(j->done[i]);
	free(j->done);
	free(j->failed);
	j->done = NULL;
	j->failed = NULL;
	seam_jobspec_free(&j->spec);
}

bool seam_jobrow_add_failed(struct seam_jobrow *j,
			    const struct seam_failed_run *f)
{
	struct seam_failed_run *more;
	size_t i;

	for (i = 0; i < j->failures; i++)
		if (j->failed[i].step == f->step &&
		    j->failed[i].task == f->task && j->failed[i].run == f->run)
			return false;
	more = realloc(j->failed, (j->failures + 1) * sizeof(*more));
	if (!more)
		return false;
	more[j->failures++] = *f;
	j->failed = more;
	return true;
}

int seam_jobrow_failures(const struct seam_jobrow *j, int step, int task)
{
	int n = 0;
	size_t i;

	for (i = 0; i < j->failures; i++)
		n += j->failed[i].step == step && j->failed[i].task == task;
	return n;
}

/* Adds a string for each step, with "d" for each done task and "-" for others.
 */
static void add_done(struct json_object *o, const struct seam_jobrow *j)
{
	struct json_object *list = json_object_new_array();
	int64_t t;
	int i;

	for (i = 0; i < j->spec.steps; i++) {
		int64_t n = j->spec.step[i].tasks;
		char *text = malloc((size_t)n + 1);

		if (!text)
			break;
		for (t = 0; t < n; t++)
			text[t] = j->done[i][t] ? 'd' : '-';
		json_object_array_add(list,
				      json_object_new_string_len(text, (int)n));
		free(text);
	}
	json_object_object_add(o, "done", list);
}

static void add_failed(struct json_object *o, const struct seam_jobrow *j,
		       size_t row)
{
	const struct seam_failed_run *f =
		j->failed + row * SEAM_PROGRESS_FAILURES_MAX;
	const struct seam_failed_run *end = f + seam_progress_failures(j, row);
	struct json_object *list = json_object_new_array();

	for (; f < end; f++) {
		json_object_array_add(list, json_object_new_int(f->step));
		json_object_array_add(list, json_object_new_int(f->task));
		json_object_array_add(list, json_object_new_int64(f->run));
	}
	json_object_object_add(o, "failed", list);
}

/* Returns the text of @o, which is released. */
static char *take_text(struct json_object *o)
{
	char *text = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));

	json_object_put(o);
	return text;
}

char *seam_jobrow_serialize(const struct seam_jobrow *j)
{
	struct seam_jobspec ended = j->spec;
	struct json_object *o;

	ended.text = (char *)"";
	ended.text_len = 0;
	ended.steps = 0;
	o = seam_jobspec_to_json(seam_job_finished(j->state) ? &ended :
							       &j->spec);
	seam_json_add_str(o, "state", state_names[j->state]);
	seam_json_add_int(o, "accepted_ms", j->accepted_ms);
	if (j->ended_ms)
		seam_json_add_int(o, "ended_ms", j->ended_ms);
	return take_text(o);
}

char *seam_progress_serialize(const struct seam_jobrow *j, size_t row)
{
	struct json_object *o = json_object_new_object();

	if (!row)
		add_done(o, j);
	if (seam_progress_failures(j, row))
		add_failed(o, j, row);
	return take_text(o);
}

static int state_of(const char *name)
{
	int i;

	for (i = 0; i <= SEAM_JOB_CANCELLED; i++)
		if (!strcmp(state_names[i], name))
			return i;
	return -1;
}

static void read_done(struct json_object *o, struct seam_jobrow *j)
{
	struct json_object *list = seam_json_member(o, "done");
	int64_t t;
	int i;

	for (i = 0; i < j->spec.steps; i++) {
		const char *text = seam_json_str_at(list, (size_t)i);

		for (t = 0; t < j->spec.step[i].tasks && text[t]; t++)
			j->done[i][t] |= text[t] == 'd';
	}
}

static void read_failed(struct json_object *o, struct seam_jobrow *j)
{
	struct json_object *list = seam_json_member(o, "failed");
	size_t i;

	for (i = 0; i + 2 < seam_json_array_length(list); i += 3) {
		struct seam_failed_run f = {(int)seam_json_int_at(list, i),
					    (int)seam_json_int_at(list, i + 1),
					    seam_json_int_at(list, i + 2)};

		seam_jobrow_add_failed(j, &f);
	}
}

int seam_progress_merge(struct seam_jobrow *j, const struct seam_row *row,
			struct seam_err *e)
{
	struct json_object *o =
		row->data ? json_tokener_parse(row->data) : NULL;

	if (!json_object_is_type(seam_json_member(o, "done"),
				 json_type_array) &&
	    !json_object_is_type(seam_json_member(o, "failed"),
				 json_type_array)) {
		json_object_put(o);
		return seam_fail(e, SEAM_BAD_REQUEST, "%s: damaged progress",
				 row->key);
	}
	read_done(o, j);
	read_failed(o, j);
	json_object_put(o);
	return 0;
}

int seam_jobrow_parse(const struct seam_row *row, struct seam_jobrow *j,
		      struct seam_err *e)
{
	struct json_object *o =
		row->data ? json_tokener_parse(row->data) : NULL;
	int rc = -1;

	memset(j, 0, sizeof(*j));
	g_strlcpy(j->spec.id, seam_jobrow_id(row->key), sizeof(j->spec.id));
	if (o && !seam_jobspec_parse(o, &j->spec, e)) {
		j->state = state_of(seam_json_str(o, "state", ""));
		j->accepted_ms = seam_json_int(o, "accepted_ms", 0);
		j->ended_ms = seam_json_int(o, "ended_ms", 0);
		rc = j->state < 0 || seam_jobrow_alloc_done(j) ? -1 : 0;
	}
	if (rc) {
		seam_jobrow_free(j);
	} else { /* as versions before rows of progress wrote it */
		read_done(o, j);
		read_failed(o, j);
	}
	json_object_put(o);
	return rc ? seam_fail(e, SEAM_BAD_REQUEST, "%s: damaged job row",
			      row->key) :
		    0;
}
