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

static int check_step(const struct seam_jobspec *j, int i, struct seam_err *e)
{
	const struct seam_step *s = &j->step[i];

	if (s->tasks < 1 || s->need.cpu < 0 || s->need.memory < 0 ||
	    s->need.gpu < 0 || s->per_worker < 0)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "steps[%d]: a count is out of range", i);
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

	if (strlen(j->id) != SEAM_JOB_ID_DIGITS ||
	    strspn(j->id, "0123456789abcdef") != SEAM_JOB_ID_DIGITS)
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

	for (i = 0; i < j->steps; i++)
		core_ms += j->step[i].tasks * j->step[i].need.cpu *
			   j->step[i].estimate_ms / 1000;
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

static void read_step(struct json_object *o, struct seam_step *s)
{
	size_t i;

	for (i = 0; i < FIELDS; i++) {
		void *at = (char *)s + fields[i].off;
		const char *name = fields[i].name;

		if (fields[i].type == INT)
			*(int64_t *)at = seam_json_int(o, name, 0);
		else if (fields[i].type == BOOL)
			*(bool *)at = seam_json_int(o, name, 0) != 0;
		else
			snprintf(at, SEAM_NAME_SIZE, "%s",
				 seam_json_str(o, name, ""));
	}
}

int seam_jobspec_parse(struct json_object *o, struct seam_jobspec *j,
		       struct seam_err *e)
{
	const char *text = seam_json_text(o, "text", &j->text_len);
	struct json_object *list = NULL;
	int i;

	snprintf(j->queue, sizeof(j->queue), "%s",
		 seam_json_str(o, "queue", ""));
	snprintf(j->pool, sizeof(j->pool), "%s", seam_json_str(o, "pool", ""));
	j->attempts = seam_json_int(o, "attempts", 1);
	snprintf(j->workspace, sizeof(j->workspace), "%s",
		 seam_json_str(o, "workspace", ""));
	json_object_object_get_ex(o, "steps", &list);
	if (!json_object_is_type(list, json_type_array) ||
	    json_object_array_length(list) > SEAM_STEPS_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "job row: no steps or too many");
	if (!text)
		return seam_fail(e, SEAM_BAD_REQUEST, "job row: no text");
	j->text = g_memdup2(text, j->text_len + 1);
	j->steps = (int)json_object_array_length(list);
	j->step = calloc((size_t)j->steps + 1, sizeof(*j->step));
	for (i = 0; j->step && i < j->steps; i++)
		read_step(json_object_array_get_idx(list, (size_t)i),
			  &j->step[i]);
	if (j->text && j->step)
		return 0;
	seam_jobspec_free(j);
	return seam_fail(e, SEAM_NO_MEMORY, NULL);
}
