#include "version/conf_impl.h"

#include <stdio.h>
#include <string.h>

#define TIMEOUT_MS_MAX 30000
#define FIELD(st, member, kind, ...)                                  \
	{                                                             \
		.name = #member, .type = (kind),                      \
		.off = offsetof(struct st, member),                   \
		.size = sizeof(((struct st *)0)->member), __VA_ARGS__ \
	}
#define NAME_FIELD(st, member) \
	FIELD(st, member, SEAM_JSON_NAME, .required = true)
#define INT_FIELD(st, member, lo, hi) \
	FIELD(st, member, SEAM_JSON_INT, .min = (lo), .max = (hi))

static const char *const dc_states[] = {"in", "out", NULL};
static const char *const pool_kinds[] = {"service", "tasks", "spare", NULL};
static const char *const priorities[] = {"normal", "urgent", NULL};
static const char *const key_states[] = {"granted", "withdrawn", NULL};

static const struct seam_json_field dc_fields[] = {
	NAME_FIELD(seam_dc, name),
	NAME_FIELD(seam_dc, region),
	FIELD(seam_dc, state, SEAM_JSON_CHOICE, .choices = dc_states),
};

static const struct seam_json_field pool_fields[] = {
	NAME_FIELD(seam_pool_conf, name),
	FIELD(seam_pool_conf, kind, SEAM_JSON_CHOICE, .choices = pool_kinds,
	      .required = true),
	INT_FIELD(seam_pool_conf, min, 0, 100000),
	INT_FIELD(seam_pool_conf, max, 1, 100000),
	INT_FIELD(seam_pool_conf, budget, 0, 100000),
	FIELD(seam_pool_conf, data_centres, SEAM_JSON_NAMES),
};

static const struct seam_json_field service_fields[] = {
	NAME_FIELD(seam_service, name),
	NAME_FIELD(seam_service, pool),
	INT_FIELD(seam_service, timeout_ms, 10, TIMEOUT_MS_MAX),
	INT_FIELD(seam_service, slots, 1, 1024),
	INT_FIELD(seam_service, connections, 1, 1024),
	FIELD(seam_service, idempotent, SEAM_JSON_BOOL),
	FIELD(seam_service, teams, SEAM_JSON_NAMES),
};

static const struct seam_json_field team_fields[] = {
	NAME_FIELD(seam_team, name),
	INT_FIELD(seam_team, share, 1, 1000000),
	INT_FIELD(seam_team, limit, 0, 1000000),
};

static const struct seam_json_field workspace_fields[] = {
	NAME_FIELD(seam_workspace, name),
	NAME_FIELD(seam_workspace, team),
	INT_FIELD(seam_workspace, share, 1, 1000000),
};

static const struct seam_json_field queue_fields[] = {
	NAME_FIELD(seam_queue, name),
	NAME_FIELD(seam_queue, team),
	NAME_FIELD(seam_queue, pool),
	FIELD(seam_queue, workspace, SEAM_JSON_NAME),
	FIELD(seam_queue, priority, SEAM_JSON_CHOICE, .choices = priorities),
	FIELD(seam_queue, open, SEAM_JSON_BOOL),
	FIELD(seam_queue, idempotent, SEAM_JSON_BOOL),
	INT_FIELD(seam_queue, finish_at, -1, 1439),
	FIELD(seam_queue, data_centres, SEAM_JSON_NAMES),
};

static const struct seam_json_field key_fields[] = {
	NAME_FIELD(seam_key, name),
	NAME_FIELD(seam_key, team),
	FIELD(seam_key, sha256, SEAM_JSON_NAME, .required = true),
	FIELD(seam_key, state, SEAM_JSON_CHOICE, .choices = key_states),
};

static const struct seam_dc dc_default;
static const struct seam_pool_conf pool_default = {.max = 100000, .budget = 1};
static const struct seam_service service_default = {.timeout_ms = 10000,
						    .slots = 8,
						    .connections = 64};
static const struct seam_team team_default = {.share = 1, .limit = 1000000};
static const struct seam_workspace workspace_default = {.share = 1};
static const struct seam_queue queue_default = {.finish_at = -1};
static const struct seam_key key_default;

#define KIND(st, singular, plural, fields, defaults)                      \
	{                                                                 \
		singular, plural, sizeof(struct st), fields,              \
			sizeof(fields) / sizeof((fields)[0]), &(defaults) \
	}

static const struct {
	const char *name;
	const char *array;
	size_t size;
	const struct seam_json_field *field;
	size_t fields;
	const void *defaults;
} kinds[SEAM_CONF_KINDS] = {
	[SEAM_CONF_DC] = KIND(seam_dc, "data_centre", "data_centres", dc_fields,
			      dc_default),
	[SEAM_CONF_POOL] = KIND(seam_pool_conf, "pool", "pools", pool_fields,
				pool_default),
	[SEAM_CONF_SERVICE] = KIND(seam_service, "service", "services",
				   service_fields, service_default),
	[SEAM_CONF_TEAM] =
		KIND(seam_team, "team", "teams", team_fields, team_default),
	[SEAM_CONF_WORKSPACE] = KIND(seam_workspace, "workspace", "workspaces",
				     workspace_fields, workspace_default),
	[SEAM_CONF_QUEUE] = KIND(seam_queue, "queue", "queues", queue_fields,
				 queue_default),
	[SEAM_CONF_KEY] =
		KIND(seam_key, "key", "keys", key_fields, key_default),
};

const char *seam_conf_kind_name(enum seam_conf_kind kind)
{
	return kinds[kind].name;
}

const char *seam_conf_array_name(int kind)
{
	return kinds[kind].array;
}

size_t seam_conf_object_size(int kind)
{
	return kinds[kind].size;
}

int seam_conf_kind_by_name(const char *name)
{
	int k;

	for (k = 0; k < SEAM_CONF_KINDS; k++)
		if (!strcmp(kinds[k].name, name))
			return k;
	return -1;
}

static void build_object(struct seam_conf *c, int kind, const char *name,
			 struct json_object *o, struct seam_problems *p)
{
	struct seam_handle h;
	char path[160];
	void *out = seam_table_add(c->table[kind], &h);

	if (!out) {
		seam_problems_add(p, kinds[kind].array, "too many objects");
		return;
	}
	snprintf(path, sizeof(path), "%s.%s", kinds[kind].array, name);
	memcpy(out, kinds[kind].defaults, kinds[kind].size);
	seam_json_decode(o, kinds[kind].field, kinds[kind].fields, out, path,
			 p);
	/* Each object starts with its name, which is the key and lives as long.
	 */
	g_hash_table_insert(c->index[kind], out, GUINT_TO_POINTER(h.bits));
}

static void check_ref(const struct seam_conf *c, int kind, const char *array,
		      const char *owner, const char *field, const char *name,
		      struct seam_problems *p)
{
	char path[200];

	if (!*name || seam_conf_lookup(c, kind, name))
		return;
	snprintf(path, sizeof(path), "%s.%s.%s", array, owner, field);
	seam_problems_add(p, path, "no %s \"%s\"", kinds[kind].name, name);
}

static void check_refs(const struct seam_conf *c, int kind, const char *array,
		       const char *owner, const char *field, char **names,
		       struct seam_problems *p)
{
	for (; names && *names; names++)
		check_ref(c, kind, array, owner, field, *names, p);
}

static void check_pools(struct seam_conf *c, struct seam_problems *p)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_pool_conf *o;
	char path[160];
	int spares = 0;

	while ((o = seam_conf_next(c, SEAM_CONF_POOL, &h))) {
		snprintf(path, sizeof(path), "pools.%s", o->name);
		if (o->min > o->max)
			seam_problems_add(p, path, "min is greater than max");
		if (o->kind == SEAM_POOL_SPARE && ++spares > 1)
			seam_problems_add(p, path,
					  "a second pool of kind spare");
		check_refs(c, SEAM_CONF_DC, "pools", o->name, "data_centres",
			   o->data_centres, p);
	}
}

static void check_pool_kind(const struct seam_conf *c, const char *array,
			    const char *owner, const char *pool, int kind,
			    struct seam_problems *p)
{
	const struct seam_pool_conf *o =
		seam_conf_lookup(c, SEAM_CONF_POOL, pool);
	char path[200];

	check_ref(c, SEAM_CONF_POOL, array, owner, "pool", pool, p);
	if (!o || o->kind == kind)
		return;
	snprintf(path, sizeof(path), "%s.%s.pool", array, owner);
	seam_problems_add(p, path, "pool \"%s\" is not of kind %s", pool,
			  pool_kinds[kind]);
}

static void check_services(struct seam_conf *c, struct seam_problems *p)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_service *o;

	while ((o = seam_table_next(c->table[SEAM_CONF_SERVICE], &h))) {
		check_pool_kind(c, "services", o->name, o->pool,
				SEAM_POOL_SERVICE, p);
		check_refs(c, SEAM_CONF_TEAM, "services", o->name, "teams",
			   o->teams, p);
		o->pool_handle = seam_conf_find(c, SEAM_CONF_POOL, o->pool);
	}
}

/* The workspace of a queue must belong to the team of the queue. */
static void check_workspace(const struct seam_conf *c,
			    const struct seam_queue *q, struct seam_problems *p)
{
	const struct seam_workspace *w;
	char path[200];

	if (!*q->workspace)
		return;
	check_ref(c, SEAM_CONF_WORKSPACE, "queues", q->name, "workspace",
		  q->workspace, p);
	w = seam_conf_lookup(c, SEAM_CONF_WORKSPACE, q->workspace);
	if (!w || !strcmp(w->team, q->team))
		return;
	snprintf(path, sizeof(path), "queues.%s.workspace", q->name);
	seam_problems_add(p, path, "workspace \"%s\" is not of team %s",
			  q->workspace, q->team);
}

static void check_queues(struct seam_conf *c, struct seam_problems *p)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_queue *o;

	while ((o = seam_conf_next(c, SEAM_CONF_QUEUE, &h))) {
		check_ref(c, SEAM_CONF_TEAM, "queues", o->name, "team", o->team,
			  p);
		check_pool_kind(c, "queues", o->name, o->pool, SEAM_POOL_TASKS,
				p);
		check_workspace(c, o, p);
		check_refs(c, SEAM_CONF_DC, "queues", o->name, "data_centres",
			   o->data_centres, p);
	}
}

static void check_workspaces(struct seam_conf *c, struct seam_problems *p)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_workspace *o;

	while ((o = seam_conf_next(c, SEAM_CONF_WORKSPACE, &h)))
		check_ref(c, SEAM_CONF_TEAM, "workspaces", o->name, "team",
			  o->team, p);
}

static void check_keys(struct seam_conf *c, struct seam_problems *p)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_key *o;
	char path[160];

	while ((o = seam_table_next(c->table[SEAM_CONF_KEY], &h))) {
		snprintf(path, sizeof(path), "keys.%s.sha256", o->name);
		check_ref(c, SEAM_CONF_TEAM, "keys", o->name, "team", o->team,
			  p);
		if (strlen(o->sha256) != SEAM_SHA256_HEX_SIZE - 1 ||
		    strspn(o->sha256, "0123456789abcdef") !=
			    SEAM_SHA256_HEX_SIZE - 1)
			seam_problems_add(p, path,
					  "must be 64 lower-case hex digits");
		else if (!g_hash_table_insert(c->key_by_hash, o->sha256, o))
			seam_problems_add(p, path, "another key has this hash");
	}
}

int seam_conf_build(struct seam_conf *c, struct seam_problems *p)
{
	size_t before = p->n;
	int k;

	for (k = 0; k < SEAM_CONF_KINDS; k++) {
		GHashTableIter it;
		gpointer name;
		gpointer o;

		g_hash_table_iter_init(&it, c->json[k]);
		while (g_hash_table_iter_next(&it, &name, &o))
			build_object(c, k, name, o, p);
	}
	check_pools(c, p);
	check_services(c, p);
	check_queues(c, p);
	check_workspaces(c, p);
	check_keys(c, p);
	return p->n == before ? 0 : -1;
}

void seam_conf_free_lists(struct seam_conf *c)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_pool_conf *pool;
	struct seam_service *service;
	struct seam_queue *queue;

	while ((pool = seam_table_next(c->table[SEAM_CONF_POOL], &h)))
		g_strfreev(pool->data_centres);
	while ((service = seam_table_next(c->table[SEAM_CONF_SERVICE], &h)))
		g_strfreev(service->teams);
	while ((queue = seam_table_next(c->table[SEAM_CONF_QUEUE], &h)))
		g_strfreev(queue->data_centres);
}
