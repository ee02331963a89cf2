#include "base/json.h"
#include "process/task.h"

#include <stdio.h>

#define READ_TIMEOUT (1 * SEAM_SEC)

/*
 * Placement skips a draining worker because of its state in the fleet, so a
 * drain only has to check whether the worker's row still commits resources.
 */
static void begin(struct seam_drain *d, const char *vm, seam_time deadline)
{
	(void)d;
	(void)vm;
	(void)deadline;
}

static bool idle(struct seam_drain *d, const char *vm)
{
	struct seam_task_drain *t = (struct seam_task_drain *)d;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	struct json_object *use = NULL;
	struct json_object *o;
	char key[SEAM_KEY_MAX];
	bool empty;

	snprintf(key, sizeof(key), "worker/%s", vm);
	if (seam_store_get(t->store, key, &row,
			   seam_now(t->clock) + READ_TIMEOUT, &e))
		return e.kind == SEAM_NOT_FOUND;
	o = json_tokener_parse(row.data);
	empty = json_object_object_get_ex(o, "use", &use) &&
		json_object_is_type(use, json_type_array) &&
		!json_object_array_length(use);
	json_object_put(o);
	seam_row_free(&row);
	return empty;
}

static const struct seam_drain_ops ops = {
	.begin = begin,
	.idle = idle,
};

void seam_task_drain_init(struct seam_task_drain *d, struct seam_store *s,
			  struct seam_clock *k)
{
	d->drain.ops = &ops;
	d->store = s;
	d->clock = k;
}
