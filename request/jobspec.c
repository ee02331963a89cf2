#include "request/jobspec.h"
#include "base/json.h"

#include <glib.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum field_type { INT, BOOL, TEXT };

struct field {
	const char *name;
	enum field_type type;
	size_t off;
};

#define STEP_FIELD(name, type, member)                         \
	{                                                      \
		name, type, offsetof(struct seam_step, member) \
	}

static const struct field fields[] = {
	STEP_FIELD("tasks", INT, tasks),
	STEP_FIELD("cpu", INT, need.cpu),
	STEP_FIELD("memory", INT, need.memory),
	STEP_FIELD("gpu", INT, need.gpu),
	STEP_FIELD("estimate_ms", INT, estimate_ms),
	STEP_FIELD("after", INT, after),
	STEP_FIELD("per_worker", INT, per_worker),
	STEP_FIELD("target_ms", INT, target_ms),
	STEP_FIELD("may_miss", INT, may_miss),
	STEP_FIELD("label", TEXT, label),
	STEP_FIELD("rack", TEXT, rack),
	STEP_FIELD("image", TEXT, image),
	STEP_FIELD("checkpoints", BOOL, checkpoints),
	STEP_FIELD("speculative", BOOL, speculative),
	STEP_FIELD("lasting", BOOL, lasting),
	STEP_FIELD("fills", BOOL, fills),
	STEP_FIELD("gang", BOOL, gang),
	STEP_FIELD("same_rack", BOOL, same_rack),
};

#define FIELDS (sizeof(fields) / sizeof(*fields))

void seam_jobspec_free(struct seam_jobspec *j)
{
	free(j->text);
	free(j->step);
	j->text = NULL;
	j->text_len = 0;
	j->step = NULL;
	j->steps = 0;
}

bool seam_job_id_is_valid(const char *id)
{
	return strlen(id) == SEAM_JOB_ID_DIGITS &&
	       strspn(id, "0123456789abcdef") == SEAM_JOB_ID_DIGITS;
}

static bool in_range(int64_t n, int64_t max)
{
	return n >= 0 && n <= max;
}

static int check_step(const struct seam_jobspec *j, int i, struct seam_err *e)
{
	const struct seam_step *s = &j->step[i];

	if (s->tasks < 1 || s->tasks > SEAM_JOB_TASKS_MAX ||
	    !in_range(s->need.cpu, SEAM_JOB_RESOURCE_MAX) ||
	    !in_range(s->need.memory, SEAM_JOB_RESOURCE_MAX) ||
	    !in_range(s->need.gpu, SEAM_JOB_RESOURCE_MAX) ||
	    !in_range(s->per_worker, SEAM_JOB_RESOURCE_MAX) ||
	    !in_range(s->may_miss, SEAM_JOB_RESOURCE_MAX))
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "steps[%d]: a count is out of range", i);
	if (!in_range(s->estimate_ms, SEAM_JOB_TIME_MAX_MS) ||
	    !in_range(s->target_ms, SEAM_JOB_TIME_MAX_MS))
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "steps[%d]: a time is out of range", i);
	if (s->after >> i)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "steps[%d]: depends on itself or a later step",
				 i);
	return 0;
}

int seam_jobspec_check(const struct seam_jobspec *j, struct seam_err *e)
{
	int64_t tasks = 0;
	int i;

	if (!seam_job_id_is_valid(j->id))
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "id: must be %d lower-case hex digits",
				 SEAM_JOB_ID_DIGITS);
	if (!j->text || j->text_len > SEAM_JOB_TEXT_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "text: missing or over %d bytes",
				 SEAM_JOB_TEXT_MAX);
	if (j->steps < 1 || j->steps > SEAM_STEPS_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "steps: must be from 1 to %d", SEAM_STEPS_MAX);
	for (i = 0; i < j->steps; i++) {
		if (check_step(j, i, e))
			return -1;
		tasks += j->step[i].tasks;
	}
	if (tasks > SEAM_JOB_TASKS_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST, "steps: over %d tasks",
				 SEAM_JOB_TASKS_MAX);
	return 0;
}

int64_t seam_jobspec_critical_path_ms(const struct seam_jobspec *j)
{
	int64_t end[SEAM_STEPS_MAX];
	int64_t longest = 0;
	int i;
	int k;

	for (i = 0; i < j->steps; i++) {
		const struct seam_step *s = &j->step[i];

		end[i] = 0;
		for (k = 0; k < i; k++)
			if (s->after >> k & 1 && end[k] > end[i])
				end[i] = end[k];
		if (!s->lasting)
			end[i] += s->estimate_ms;
		if (end[i] > longest)
			longest = end[i];
	}
	return longest;
}

int64_t seam_jobspec_core_ms(const struct seam_jobspec *j)
{
	int64_t core_ms = 0;
	int i;

	for (i = 0; i < j->steps; i++) {
		const struct seam_step *s = &j->step[i];
		int64_t work;

		if (__builtin_mul_overflow(s->tasks * s->need.cpu,
					   s->estimate_ms, &work) ||
		    __builtin_add_overflow(core_ms, work / 1000, &core_ms))
			return INT64_MAX;
	}
	return core_ms;
}

static struct json_object *step_json(const struct seam_step *s)
{
	struct json_object *o = json_object_new_object();
	size_t i;

	for (i = 0; i < FIELDS; i++) {
		const void *at = (const char *)s + fields[i].off;
		const char *name = fields[i].name;

		if (fields[i].type == INT && *(const int64_t *)at)
			seam_json_add_int(o, name, *(const int64_t *)at);
		else if (fields[i].type == BOOL && *(const bool *)at)
			seam_json_add_int(o, name, 1);
		else if (fields[i].type == TEXT && *(const char *)at)
			seam_json_add_str(o, name, at);
	}
	return o;
}

struct json_object *seam_jobspec_to_json(const struct seam_jobspec *j)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	int i;

	seam_json_add_str(o, "queue", j->queue);
	seam_json_add_str(o, "pool", j->pool);
	seam_json_add_int(o, "attempts", j->attempts);
	seam_json_add_str(o, "workspace", j->workspace);
	seam_json_add_text(o, "text", j->text, j->text_len);
	for (i = 0; i < j->steps; i++)
		json_object_array_add(list, step_json(&j->step[i]));
	json_object_object_add(o, "steps", list);
	return o;
}

/* A text that does not fit is not cut: it would name something else. */
static bool read_text(struct json_object *o, const char *name, char *to)
{
	size_t len = 0;
	const char *text = seam_json_text(o, name, &len);

	*to = '\0';
	if (!text)
		return !seam_json_member(o, name);
	if (len >= SEAM_NAME_SIZE || strlen(text) != len)
		return false;
	memcpy(to, text, len + 1);
	return true;
}

static bool read_step(struct json_object *o, struct seam_step *s)
{
	size_t i;

	for (i = 0; i < FIELDS; i++) {
		void *at = (char *)s + fields[i].off;
		const char *name = fields[i].name;

		if (fields[i].type == INT)
			*(int64_t *)at = seam_json_int(o, name, 0);
		else if (fields[i].type == BOOL)
			*(bool *)at = seam_json_int(o, name, 0) != 0;
		else if (!read_text(o, name, at))
			return false;
	}
	return in_range(s->tasks, SEAM_JOB_TASKS_MAX);
}

static int read_steps(struct json_object *list, struct seam_jobspec *j,
		      struct seam_err *e)
{
	int i;

	if (!json_object_is_type(list, json_type_array) ||
	    json_object_array_length(list) > SEAM_STEPS_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "job row: no steps or too many");
	j->steps = (int)json_object_array_length(list);
	j->step = calloc((size_t)j->steps + 1, sizeof(*j->step));
	if (!j->step)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	for (i = 0; i < j->steps; i++)
		if (!read_step(json_object_array_get_idx(list, (size_t)i),
			       &j->step[i]))
			return seam_fail(e, SEAM_BAD_REQUEST,
					 "job row: step %d is damaged", i);
	return 0;
}

int seam_jobspec_parse(struct json_object *o, struct seam_jobspec *j,
		       struct seam_err *e)
{
	const char *text = seam_json_text(o, "text", &j->text_len);

	if (!text || !read_text(o, "queue", j->queue) ||
	    !read_text(o, "pool", j->pool) ||
	    !read_text(o, "workspace", j->workspace))
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "job row: a text is missing or damaged");
	j->attempts = seam_json_int(o, "attempts", 1);
	j->text = g_memdup2(text, j->text_len + 1);
	if (!read_steps(seam_json_member(o, "steps"), j, e))
		return 0;
	seam_jobspec_free(j);
	return -1;
}
