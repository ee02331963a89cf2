#include "process/task.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define LIMIT_DEFAULT 50

static int parse_limit(const char *text, int *limit, struct seam_err *e)
{
	char *end;
	long n = strtol(text, &end, 10);

	if (end == text || *end || n < 1 || n > SEAM_TASK_LIST_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST, "limit: 1 to %d",
				 SEAM_TASK_LIST_MAX);
	*limit = (int)n;
	return 0;
}

static int parse_parameter(const char *name, const char *value,
			   struct seam_task_list_query *a, struct seam_err *e)
{
	if (!strcmp(name, "limit"))
		return parse_limit(value, &a->limit, e);
	if (!strcmp(name, "after") && strlen(value) < sizeof(a->after)) {
		g_strlcpy(a->after, value, sizeof(a->after));
		return 0;
	}
	if (!strcmp(name, "state")) {
		a->state = seam_task_state_by_name(value);
		if (a->state >= 0)
			return 0;
	}
	return seam_fail(e, SEAM_BAD_REQUEST, "query: bad %s", name);
}

int seam_task_list_query_parse(const char *query,
			       struct seam_task_list_query *a,
			       struct seam_err *e)
{
	GHashTable *v =
		g_uri_parse_params(query, -1, "&", G_URI_PARAMS_NONE, NULL);
	GHashTableIter it;
	gpointer name;
	gpointer value;
	int rc = 0;

	a->state = -1;
	a->limit = LIMIT_DEFAULT;
	*a->after = '\0';
	if (!v)
		return seam_fail(e, SEAM_BAD_REQUEST, "query: malformed");
	g_hash_table_iter_init(&it, v);
	while (!rc && g_hash_table_iter_next(&it, &name, &value))
		rc = parse_parameter(name, value, a, e);
	g_hash_table_destroy(v);
	return rc;
}
