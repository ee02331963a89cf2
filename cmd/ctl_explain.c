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

static double seconds(struct json_object *o, const char *from, const char *to)
{
	return (double)(ctl_int(o, to) - ctl_int(o, from)) / SEAM_SEC;
}

static void say_task_state(struct json_object *o)
{
	const char *state = ctl_str(o, "state");
	const char *reason = ctl_str(o, "reason");

	printf("Task %s is %s.\n", ctl_str(o, "id"), state);
	if (!strcmp(state, "queued"))
		printf("It waits: %s.\n",
		       *reason ? reason : "its bucket has not placed it yet");
	else if (*reason)
		printf("The reason is: %s.\n", reason);
	if (!strcmp(state, "unknown"))
		puts("It may have run in part and never runs again by itself; "
		     "look at its effects, then decide.");
	if (ctl_int(o, "started_at"))
		printf("Attempt %" PRId64 " was placed on worker %s %.1f s "
		       "after the task was submitted.\n",
		       ctl_int(o, "attempt"), ctl_str(o, "worker"),
		       seconds(o, "submitted", "started_at"));
	if (ctl_int(o, "ended_at") && ctl_int(o, "started_at"))
		printf("It ended %.1f s after that.\n",
		       seconds(o, "started_at", "ended_at"));
}

static void say_task_team(struct json_object *o)
{
	double over = json_object_get_double(ctl_at(o, "team_over_share"));

	if (ctl_at(o, "no_room_for"))
		printf("No worker had room for %" PRId64 " millicores and "
		       "%" PRId64 " MB.\n",
		       ctl_int(o, "no_room_for.cpu_milli"),
		       ctl_int(o, "no_room_for.memory_mb"));
	if (over > 0)
		puts("Its team runs more than its share, so that idempotent "
		     "tasks of the team can be preempted.");
	if (ctl_at(o, "owned_here"))
		puts(json_object_get_boolean(ctl_at(o, "owned_here")) ?
			     "The node asked owns its bucket." :
			     "Another node owns its bucket.");
}

static void task_lines(struct json_object *o)
{
	ctl_line("task", o, "id", CTL_TEXT);
	ctl_line("state", o, "state", CTL_TEXT);
	ctl_line("kind", o, "kind", CTL_TEXT);
	ctl_line("group", o, "group", CTL_TEXT);
	ctl_line("reason", o, "reason", CTL_TEXT);
	ctl_line("stopped for", o, "stop", CTL_TEXT);
	ctl_line("attempt", o, "attempt", CTL_TEXT);
	ctl_line("worker", o, "worker", CTL_TEXT);
	ctl_line("submitted", o, "submitted", CTL_UTC);
	ctl_line("started", o, "started_at", CTL_UTC);
	if (!ctl_int(o, "ended_at"))
		ctl_line("lease until", o, "lease_until", CTL_UTC);
	ctl_line("finish by", o, "finish_by", CTL_UTC);
	ctl_line("ended", o, "ended_at", CTL_UTC);
	ctl_line("declared cores", o, "declared.cpu_milli", CTL_CORES);
	ctl_line("declared MB", o, "declared.memory_mb", CTL_TEXT);
	ctl_line("reserved cores", o, "reserved.cpu_milli", CTL_CORES);
	ctl_line("reserved MB", o, "reserved.memory_mb", CTL_TEXT);
	ctl_line("urgent", o, "urgent", CTL_YES);
	ctl_line("idempotent", o, "idempotent", CTL_YES);
}

static void explain_task(struct json_object *o)
{
	say_task_state(o);
	say_task_team(o);
	puts("");
	task_lines(o);
}

static void say_wave(struct json_object *o)
{
	const char *order = ctl_str(o, "wave.order");
	char when[32];

	if (!ctl_at(o, "wave"))
		puts("The wave order is not known: the store is down.");
	else if (!strcmp(order, "none"))
		puts("Operators gave no wave order; maintenance follows its "
		     "deadlines.");
	else
		printf("The latest wave order is %s, given by %s at %s: %s.\n",
		       order, ctl_str(o, "wave.operator"),
		       ctl_utc(ctl_int(o, "wave.given"), when, sizeof(when)),
		       ctl_str(o, "wave.reason"));
}

static void explain_vm(struct json_object *o)
{
	const char *why = ctl_str(o, "why");
	const char *to = ctl_str(o, "moves_to");
	char when[32];

	printf("VM %s of pool %s is %s", ctl_str(o, "vm"), ctl_str(o, "pool"),
	       ctl_str(o, "state"));
	if (*why && strcmp(why, "none"))
		printf(" (%s)", why);
	if (ctl_int(o, "until"))
		printf(" until %s at the latest",
		       ctl_utc(ctl_int(o, "until"), when, sizeof(when)));
	puts(".");
	if (*to)
		printf("It moves to pool %s.\n", to);
	printf("Maintenance: %s.\n", ctl_str(o, "maintenance"));
	say_wave(o);
	puts("");
	ctl_line("data centre", o, "data_centre", CTL_TEXT);
	ctl_line("rack", o, "rack", CTL_TEXT);
	ctl_line("maintained", o, "maintained", CTL_UTC);
	ctl_line("due from", o, "due", CTL_UTC);
	ctl_line("maintain by", o, "maintain_by", CTL_UTC);
	ctl_line("boots", o, "boot", CTL_TEXT);
}

static void explain_pool(struct json_object *o)
{
	char when[32];

	printf("Pool %s: %" PRId64 " members, %" PRId64 " active, %" PRId64
	       " unavailable with a budget of %" PRId64 ".\n",
	       ctl_str(o, "name"), ctl_int(o, "members"), ctl_int(o, "active"),
	       ctl_int(o, "unavailable"), ctl_int(o, "budget"));
	if (ctl_int(o, "unavailable") >= ctl_int(o, "budget"))
		puts("The budget is used up, so no further planned work "
		     "begins.");
	if (ctl_int(o, "data_centre_out"))
		printf("%" PRId64 " are in data centres that are out.\n",
		       ctl_int(o, "data_centre_out"));
	if (ctl_int(o, "overdue"))
		printf("%" PRId64 " are past their maintenance deadline.\n",
		       ctl_int(o, "overdue"));
	if (*ctl_str(o, "size"))
		printf("Size: %s.\n", ctl_str(o, "size"));
	if (ctl_int(o, "forecast.shrink_at"))
		printf("It may shrink from %s.\n",
		       ctl_utc(ctl_int(o, "forecast.shrink_at"), when,
			       sizeof(when)));
	say_wave(o);
	if (!ctl_int(o, "members"))
		return;
	puts("");
	CTL_TABLE(ctl_at(o, "members_list"), member_columns);
}

/* The ledger's object of holders as rows with their name. */
static struct json_object *grant_rows(struct json_object *o)
{
	struct json_object *rows = json_object_new_array();
	struct json_object *grants = ctl_at(o, "ledger.grants");

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

	puts(ctl_str(o, "reason"));
	if (*ctl_str(o, "ledger_error"))
		printf("The team's row was not read: %s.\n",
		       ctl_str(o, "ledger_error"));
	if (ctl_int(o, "this_node.refused"))
		printf("Since its start the node asked has refused %" PRId64
		       " units for lack of granted ones.\n",
		       ctl_int(o, "this_node.refused"));
	if (ctl_int(o, "ledger.limit") || json_object_array_length(rows))
		printf("The limit is %" PRId64 " units across the fleet%s\n",
		       ctl_int(o, "ledger.limit"),
		       json_object_array_length(rows) ? "; they are held by:" :
							"; nobody holds any.");
	if (json_object_array_length(rows)) {
		puts("");
		CTL_TABLE(rows, grant_columns);
	}
	json_object_put(rows);
}

static const struct {
	const char *kind;
	void (*print)(struct json_object *o);
} kinds[] = {
	{"task", explain_task},
	{"vm", explain_vm},
	{"pool", explain_pool},
	{"team", explain_team},
};

static int show(struct ctl *a, const char *kind, const char *name,
		void (*print)(struct json_object *o))
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o;
	char prefix[40];
	char path[700];

	snprintf(prefix, sizeof(prefix), "/v1/explain/%s/", kind);
	ctl_path(path, sizeof(path), prefix, name, "");
	o = seam_client_call(&a->client, "GET", path, NULL, &e);
	if (!o)
		return ctl_refused(&e);
	if (a->json)
		ctl_print(o);
	else
		print(o);
	json_object_put(o);
	return CTL_DONE;
}

/* Callers' paths need a key of the task's team, so operators take this one. */
int ctl_task(struct ctl *a)
{
	return show(a, "task", a->word[1], task_lines);
}

int ctl_explain(struct ctl *a)
{
	size_t i;

	for (i = 0; i < sizeof(kinds) / sizeof(*kinds); i++)
		if (!strcmp(kinds[i].kind, a->word[1]))
			return show(a, a->word[1], a->word[2], kinds[i].print);
	fprintf(stderr, "seamctl: explain takes task, vm, pool or team\n");
	return CTL_USAGE;
}
