#include "cmd/ctl.h"

#include <stdio.h>

static const struct ctl_column task_columns[] = {
	{"TASK", "id", CTL_TEXT},
	{"STATE", "state", CTL_TEXT},
	{"KIND", "kind", CTL_TEXT},
	{"URGENT", "urgent", CTL_BOOL},
	{"ATTEMPT", "attempt", CTL_TEXT},
	{"WORKER", "worker", CTL_TEXT},
	{"SUBMITTED", "submitted", CTL_UTC},
	{"STARTED", "started_at", CTL_UTC},
	{"ENDED", "ended_at", CTL_UTC},
	{"REASON", "reason", CTL_TEXT},
};

static struct json_object *fetch_page(struct ctl *a, const char *after,
				      struct seam_err *e)
{
	char suffix[300];
	char path[900];

	snprintf(suffix, sizeof(suffix), "/tasks?limit=100%s%s",
		 *after ? "&after=" : "", after);
	ctl_format_path(path, sizeof(path), "/v1/queues/", a->argv[1], suffix);
	return seam_client_call(&a->client, "GET", path, NULL, e);
}

/* Appends the tasks of @page to @all. */
static void append_tasks(struct json_object *all, struct json_object *page)
{
	struct json_object *tasks = ctl_get(page, "tasks");
	size_t n = tasks ? json_object_array_length(tasks) : 0;
	size_t i;

	for (i = 0; i < n; i++)
		json_object_array_add(
			all,
			json_object_get(json_object_array_get_idx(tasks, i)));
}

static int fetch_all(struct ctl *a, struct json_object *all, struct seam_err *e)
{
	char after[200] = "";

	do {
		struct json_object *page = fetch_page(a, after, e);

		if (!page)
			return -1;
		append_tasks(all, page);
		snprintf(after, sizeof(after), "%s", ctl_get_str(page, "next"));
		json_object_put(page);
	} while (*after);
	return 0;
}

int ctl_tasks(struct ctl *a)
{
	struct json_object *all = json_object_new_array();
	struct seam_err e = SEAM_ERR_INIT;
	int rc = CTL_DONE;

	if (fetch_all(a, all, &e))
		rc = ctl_report_error(&e);
	else if (a->json)
		ctl_print_json(all);
	else if (json_object_array_length(all))
		CTL_PRINT_TABLE(all, task_columns);
	else
		printf("Queue %s has no tasks.\n", a->argv[1]);
	json_object_put(all);
	return rc;
}
