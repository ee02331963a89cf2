#include "cmd/ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"

static const struct ctl_column member_columns[] = {
	{"VM", "vm", CTL_TEXT},
	{"RACK", "rack", CTL_TEXT},
	{"DC", "data_centre", CTL_TEXT},
	{"STATE", "state", CTL_TEXT},
	{"WHY", "why", CTL_TEXT},
	{"UNTIL", "until", CTL_UTC},
	{"MAINTAIN-BY", "maintain_by", CTL_UTC},
};

static const struct ctl_column grant_columns[] = {
	{"HOLDER", "holder", CTL_TEXT},
	{"UNITS", "units", CTL_TEXT},
	{"DC", "dc", CTL_TEXT},
	{"VM", "vm", CTL_TEXT},
};

static double seconds_between(struct json_object *o, const char *from,
			      const char *to)
{
	return (double)(ctl_get_int(o, to) - ctl_get_int(o, from)) / SEAM_SEC;
}

static void print_task_state(struct json_object *o)
{
	const char *state = ctl_get_str(o, "state");
	const char *reason = ctl_get_str(o, "reason");

	printf("Task %s is %s.\n", ctl_get_str(o, "id"), state);
	if (!strcmp(state, "queued"))
		printf("It waits: %s.\n",
		       *reason ? reason :
				 "its bucket's owner has not placed it yet");
	else if (*reason)
		printf("The reason is: %s.\n", reason);
	if (!strcmp(state, "unknown"))
		puts("It may have run in part and never runs again by itself; "
		     "look at its effects, then decide.");
	if (ctl_get_int(o, "started_at"))
		printf("Attempt %" PRId64 " was placed on worker %s %.1f s "
		       "after the task was submitted.\n",
		       ctl_get_int(o, "attempt"), ctl_get_str(o, "worker"),
		       seconds_between(o, "submitted", "started_at"));
	if (ctl_get_int(o, "ended_at") && ctl_get_int(o, "started_at"))
		printf("It ended %.1f s after that.\n",
		       seconds_between(o, "started_at", "ended_at"));
}

static void print_task_team(struct json_object *o)
{
	double over_share =
		json_object_get_double(ctl_get(o, "team_over_share"));

	if (ctl_get(o, "no_room_for"))
		printf("No worker had room for %" PRId64 " millicores and "
		       "%" PRId64 " MB.\n",
		       ctl_get_int(o, "no_room_for.cpu_milli"),
		       ctl_get_int(o, "no_room_for.memory_mb"));
	if (over_share > 0)
		puts("Its team runs more than its share, so idempotent "
		     "tasks of the team can be preempted.");
	if (ctl_get(o, "owned_here"))
		puts(json_object_get_boolean(ctl_get(o, "owned_here")) ?
			     "The node asked owns its bucket." :
			     "Another node owns its bucket.");
}

static void print_task_fields(struct json_object *o)
{
	ctl_print_field("task", o, "id", CTL_TEXT);
	ctl_print_field("state", o, "state", CTL_TEXT);
	ctl_print_field("kind", o, "kind", CTL_TEXT);
	ctl_print_field("group", o, "group", CTL_TEXT);
	ctl_print_field("reason", o, "reason", CTL_TEXT);
	ctl_print_field("stopped for", o, "stop", CTL_TEXT);
	ctl_print_field("attempt", o, "attempt", CTL_TEXT);
	ctl_print_field("worker", o, "worker", CTL_TEXT);
	ctl_print_field("submitted", o, "submitted", CTL_UTC);
	ctl_print_field("started", o, "started_at", CTL_UTC);
	if (!ctl_get_int(o, "ended_at"))
		ctl_print_field("lease until", o, "lease_until", CTL_UTC);
	ctl_print_field("finish by", o, "finish_by", CTL_UTC);
	ctl_print_field("ended", o, "ended_at", CTL_UTC);
	ctl_print_field("declared cores", o, "declared.cpu_milli", CTL_CORES);
	ctl_print_field("declared MB", o, "declared.memory_mb", CTL_TEXT);
	ctl_print_field("reserved cores", o, "reserved.cpu_milli", CTL_CORES);
	ctl_print_field("reserved MB", o, "reserved.memory_mb", CTL_TEXT);
	ctl_print_field("urgent", o, "urgent", CTL_BOOL);
	ctl_print_field("idempotent", o, "idempotent", CTL_BOOL);
}

static void explain_task(struct json_object *o)
{
	print_task_state(o);
	print_task_team(o);
	puts("");
	print_task_fields(o);
}

static void print_wave_order(struct json_object *o)
{
	const char *order = ctl_get_str(o, "wave.order");
	char when[32];

	if (!ctl_get(o, "wave"))
		puts("The wave order is unknown: the store is down.");
	else if (!strcmp(order, "none"))
		puts("No wave order has been given; maintenance follows its "
		     "deadlines.");
	else
		printf("The latest wave order is %s, given by %s at %s: %s.\n",
		       order, ctl_get_str(o, "wave.operator"),
		       ctl_format_utc(ctl_get_int(o, "wave.given"), when,
				      sizeof(when)),
		       ctl_get_str(o, "wave.reason"));
}

static void explain_vm(struct json_object *o)
{
	const char *why = ctl_get_str(o, "why");
	const char *new_pool = ctl_get_str(o, "moves_to");
	char when[32];

	printf("VM %s of pool %s is %s", ctl_get_str(o, "vm"),
	       ctl_get_str(o, "pool"), ctl_get_str(o, "state"));
	if (*why && strcmp(why, "none"))
		printf(" (%s)", why);
	if (ctl_get_int(o, "until"))
		printf(" until %s at the latest",
		       ctl_format_utc(ctl_get_int(o, "until"), when,
				      sizeof(when)));
	puts(".");
	if (*new_pool)
		printf("It moves to pool %s.\n", new_pool);
	printf("Maintenance: %s.\n", ctl_get_str(o, "maintenance"));
	print_wave_order(o);
	puts("");
	ctl_print_field("data centre", o, "data_centre", CTL_TEXT);
	ctl_print_field("rack", o, "rack", CTL_TEXT);
	ctl_print_field("maintained", o, "maintained", CTL_UTC);
	ctl_print_field("due from", o, "due", CTL_UTC);
	ctl_print_field("maintain by", o, "maintain_by", CTL_UTC);
	ctl_print_field("boots", o, "boot", CTL_TEXT);
}

static void explain_pool(struct json_object *o)
{
	char when[32];

	printf("Pool %s: %" PRId64 " members, %" PRId64 " active, %" PRId64
	       " unavailable with a budget of %" PRId64 ".\n",
	       ctl_get_str(o, "name"), ctl_get_int(o, "members"),
	       ctl_get_int(o, "active"), ctl_get_int(o, "unavailable"),
	       ctl_get_int(o, "budget"));
	if (ctl_get_int(o, "unavailable") >= ctl_get_int(o, "budget"))
		puts("The budget is used up, so no further planned work "
		     "begins.");
	if (ctl_get_int(o, "data_centre_out"))
		printf("%" PRId64 " are in data centres that are out.\n",
		       ctl_get_int(o, "data_centre_out"));
	if (ctl_get_int(o, "overdue"))
		printf("%" PRId64 " are past their maintenance deadline.\n",
		       ctl_get_int(o, "overdue"));
	if (*ctl_get_str(o, "size"))
		printf("Size: %s.\n", ctl_get_str(o, "size"));
	if (ctl_get_int(o, "forecast.shrink_at"))
		printf("It may shrink from %s.\n",
		       ctl_format_utc(ctl_get_int(o, "forecast.shrink_at"),
				      when, sizeof(when)));
	print_wave_order(o);
	if (!ctl_get_int(o, "members"))
		return;
	puts("");
	CTL_PRINT_TABLE(ctl_get(o, "members_list"), member_columns);
}

/* Turns the ledger's map of holders into rows with the holder as a member. */
static struct json_object *grant_rows(struct json_object *o)
{
	struct json_object *rows = json_object_new_array();
	struct json_object *grants = ctl_get(o, "ledger.grants");

	if (!grants)
		return rows;
	json_object_object_foreach(grants, holder, grant)
	{
		json_object_object_add(grant, "holder",
				       json_object_new_string(holder));
		json_object_array_add(rows, json_object_get(grant));
	}
	return rows;
}

static void explain_team(struct json_object *o)
{
	struct json_object *rows = grant_rows(o);

	puts(ctl_get_str(o, "reason"));
	if (*ctl_get_str(o, "ledger_error"))
		printf("The team's row was not read: %s.\n",
		       ctl_get_str(o, "ledger_error"));
	if (ctl_get_int(o, "this_node.refused"))
		printf("Since it started, the node asked has refused %" PRId64
		       " units for lack of granted units.\n",
		       ctl_get_int(o, "this_node.refused"));
	if (ctl_get_int(o, "ledger.limit") || json_object_array_length(rows))
		printf("The limit is %" PRId64 " units across the fleet%s\n",
		       ctl_get_int(o, "ledger.limit"),
		       json_object_array_length(rows) ?
			       "; they are held by:" :
			       "; no units are granted.");
	if (json_object_array_length(rows)) {
		puts("");
		CTL_PRINT_TABLE(rows, grant_columns);
	}
	json_object_put(rows);
}

static const struct {
	const char *kind;
	void (*print)(struct json_object *o);
} explain_kinds[] = {
	{"task", explain_task},
	{"vm", explain_vm},
	{"pool", explain_pool},
	{"team", explain_team},
};

static int fetch_and_print(struct ctl *a, const char *kind, const char *name,
			   void (*print)(struct json_object *o))
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o;
	char prefix[40];
	char path[700];

	snprintf(prefix, sizeof(prefix), "/v1/explain/%s/", kind);
	ctl_format_path(path, sizeof(path), prefix, name, "");
	o = seam_client_call(&a->client, "GET", path, NULL, &e);
	if (!o)
		return ctl_report_error(&e);
	if (a->json)
		ctl_print_json(o);
	else
		print(o);
	json_object_put(o);
	return CTL_DONE;
}

/*
 * Uses the operators' explain path: the callers' path of a task accepts only a
 * key of the task's team.
 */
int ctl_task(struct ctl *a)
{
	return fetch_and_print(a, "task", a->argv[1], print_task_fields);
}

int ctl_explain(struct ctl *a)
{
	size_t i;

	for (i = 0; i < sizeof(explain_kinds) / sizeof(*explain_kinds); i++)
		if (!strcmp(explain_kinds[i].kind, a->argv[1]))
			return fetch_and_print(a, a->argv[1], a->argv[2],
					       explain_kinds[i].print);
	fprintf(stderr, "seamctl: explain takes task, vm, pool or team\n");
	return CTL_USAGE;
}
