#include "cmd/ctl.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MSEC_PER_SEC 1000.0

static const struct ctl_column pool_columns[] = {
	{"POOL", "name", CTL_TEXT},
	{"MEMBERS", "members", CTL_TEXT},
	{"ACTIVE", "active", CTL_TEXT},
	{"UNAVAIL", "unavailable", CTL_TEXT},
	{"PLANNED", "planned", CTL_TEXT},
	{"DC-OUT", "data_centre_out", CTL_TEXT},
	{"BUDGET", "budget", CTL_TEXT},
	{"MIN", "min", CTL_TEXT},
	{"WANTS", "wants", CTL_TEXT},
	{"OVERDUE", "overdue", CTL_TEXT},
};

static const struct ctl_column team_columns[] = {
	{"TEAM", "team", CTL_TEXT},
	{"LIMIT", "limit", CTL_TEXT},
	{"GRANTED", "granted_all", CTL_TEXT},
	{"HOLDERS", "holders", CTL_TEXT},
	{"HERE", "this_node.granted", CTL_TEXT},
	{"RUNNING-HERE", "this_node.running", CTL_TEXT},
	{"REFUSED-HERE", "this_node.refused", CTL_TEXT},
	{"ROW-DAMAGED", "this_node.row_damaged", CTL_BOOL},
};

static const struct ctl_column worker_columns[] = {
	{"WORKER", "id", CTL_TEXT},
	{"POOL", "pool", CTL_TEXT},
	{"DC", "data_centre", CTL_TEXT},
	{"CORES", "size.cpu_milli", CTL_CORES},
	{"USED", "committed.cpu_milli", CTL_CORES},
	{"GB", "size.memory_mb", CTL_GB},
	{"USED-GB", "committed.memory_mb", CTL_GB},
	{"USABLE", "usable", CTL_BOOL},
	{"QUARANTINED", "quarantined", CTL_BOOL},
	{"REASON", "reason", CTL_TEXT},
};

static const struct ctl_column node_columns[] = {
	{"NODE", "node", CTL_TEXT},
	{"DC", "data_centre", CTL_TEXT},
	{"CALLERS", "listen", CTL_TEXT},
	{"INC", "incarnation", CTL_TEXT},
	{"SUSPECTED", "suspected", CTL_BOOL},
	{"VERSION", "version", CTL_TEXT},
	{"CONFIRMED", "confirmed_at_us", CTL_UTC},
};

/* Adds the sum of all grants and the number of holders to each team. */
static void add_grant_totals(struct json_object *teams)
{
	size_t i;

	for (i = 0; i < json_object_array_length(teams); i++) {
		struct json_object *o = json_object_array_get_idx(teams, i);
		struct json_object *grants = ctl_get(o, "ledger.grants");
		int64_t units = 0;
		int holders = 0;

		if (!grants)
			continue;
		json_object_object_foreach(grants, holder, grant)
		{
			(void)holder;
			units += ctl_get_int(grant, "units");
			holders++;
		}
		json_object_object_add(o, "granted_all",
				       json_object_new_int64(units));
		json_object_object_add(o, "holders",
				       json_object_new_int(holders));
	}
}

static void print_nodes(struct json_object *o)
{
	struct json_object *self = ctl_get(o, "self");
	struct json_object *members = ctl_get(o, "members");
	int64_t age = ctl_get_int(self, "confirmed_age_ms");

	printf("Asked node %s in data centre %s, incarnation %" PRId64 ".\n",
	       ctl_get_str(self, "node"), ctl_get_str(self, "data_centre"),
	       ctl_get_int(self, "incarnation"));
	if (age < 0)
		printf("Its version %" PRId64 " was never confirmed.\n",
		       ctl_get_int(self, "version"));
	else
		printf("Its version %" PRId64 " was confirmed %.1f s ago.\n",
		       ctl_get_int(self, "version"),
		       (double)age / MSEC_PER_SEC);
	puts(json_object_get_boolean(ctl_get(self, "store_down")) ?
		     "It does not reach the store." :
		     "It reaches the store.");
	if (json_object_get_boolean(ctl_get(self, "change_unsettled")))
		puts("A change that it sent to the store is not settled yet.");
	if (members && json_object_array_length(members))
		CTL_PRINT_TABLE(members, node_columns);
	else
		puts("It knows no other node.");
}

static void print_workers(struct json_object *o)
{
	if (json_object_array_length(o))
		CTL_PRINT_TABLE(o, worker_columns);
	else
		puts("No worker has run a task yet.");
}

static void print_list(const char *name, struct json_object *o)
{
	if (!strcmp(name, "pools")) {
		CTL_PRINT_TABLE(o, pool_columns);
	} else if (!strcmp(name, "teams")) {
		add_grant_totals(o);
		CTL_PRINT_TABLE(o, team_columns);
	} else if (!strcmp(name, "workers")) {
		print_workers(o);
	} else {
		print_nodes(o);
	}
}

int ctl_list(struct ctl *a)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o;
	char path[64];

	snprintf(path, sizeof(path), "/v1/%s", a->argv[0]);
	o = seam_client_call(&a->client, "GET", path, NULL, &e);
	if (!o)
		return ctl_report_error(&e);
	if (a->json)
		ctl_print_json(o);
	else
		print_list(a->argv[0], o);
	json_object_put(o);
	return CTL_DONE;
}

void ctl_format_path(char *out, size_t size, const char *prefix,
		     const char *segment, const char *suffix)
{
	char *escaped = curl_easy_escape(NULL, segment, 0);

	snprintf(out, size, "%s%s%s", prefix, escaped ? escaped : "", suffix);
	curl_free(escaped);
}

static struct json_object *wave_order(const struct ctl *a)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "order", json_object_new_string(a->argv[1]));
	json_object_object_add(o, "reason", json_object_new_string(a->message));
	json_object_object_add(o, "operator",
			       json_object_new_string(a->operator_name));
	if (a->expect >= 0)
		json_object_object_add(o, "expected",
				       json_object_new_int64(a->expect));
	return o;
}

int ctl_wave(struct ctl *a)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *order;
	struct json_object *o;
	char path[600];

	if (strcmp(a->argv[1], "start") && strcmp(a->argv[1], "halt")) {
		fprintf(stderr, "seamctl: wave takes start or halt\n");
		return CTL_USAGE;
	}
	order = wave_order(a);
	ctl_format_path(path, sizeof(path), "/v1/pools/", a->argv[2], "/wave");
	o = seam_client_call(&a->client, "POST", path,
			     json_object_to_json_string(order), &e);
	json_object_put(order);
	if (!o)
		return ctl_report_error(&e);
	if (a->json)
		ctl_print_json(o);
	else
		printf("wave order %" PRId64 " of pool %s: %s\n",
		       ctl_get_int(o, "version"), a->argv[2], a->argv[1]);
	json_object_put(o);
	return CTL_DONE;
}
