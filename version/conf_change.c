#include "version/conf_impl.h"

#include <stdio.h>
#include <string.h>

static const char *object_name(struct json_object *o, const char *path,
			       struct seam_problems *p)
{
	const char *name = seam_json_str(o, "name", NULL);

	if (!name)
		seam_problems_add(p, path,
				  "\"name\" is missing or not a string");
	return name;
}

static void put_object(struct seam_conf *c, int kind, const char *name,
		       struct json_object *o)
{
	g_hash_table_replace(c->json[kind], g_strdup(name), json_object_get(o));
}

static void parse_array(struct seam_conf *c, int kind, struct json_object *a,
			struct seam_problems *p)
{
	char path[96];
	size_t i;

	if (!json_object_is_type(a, json_type_array)) {
		seam_problems_add(p, seam_conf_array_name(kind),
				  "must be an array");
		return;
	}
	for (i = 0; i < json_object_array_length(a); i++) {
		struct json_object *o = json_object_array_get_idx(a, i);
		const char *name;

		snprintf(path, sizeof(path), "%s[%zu]",
			 seam_conf_array_name(kind), i);
		name = object_name(o, path, p);
		if (!name)
			continue;
		if (g_hash_table_contains(c->json[kind], name))
			seam_problems_add(p, path, "name \"%s\" occurs twice",
					  name);
		put_object(c, kind, name, o);
	}
}

static int kind_by_array_name(const char *name)
{
	int k;

	for (k = 0; k < SEAM_CONF_KINDS; k++)
		if (!strcmp(seam_conf_array_name(k), name))
			return k;
	return -1;
}

static struct seam_conf *build_or_release(struct seam_conf *c, size_t before,
					  struct seam_problems *p)
{
	seam_conf_build(c, p);
	if (p->n == before)
		return c;
	seam_conf_unref(c);
	return NULL;
}

struct seam_conf *seam_conf_parse(struct json_object *doc, uint64_t version,
				  struct seam_problems *p)
{
	size_t before = p->n;
	struct seam_conf *c;

	if (!json_object_is_type(doc, json_type_object)) {
		seam_problems_add(p, "", "must be an object");
		return NULL;
	}
	c = seam_conf_new(version);
	json_object_object_foreach(doc, name, value)
	{
		int kind = kind_by_array_name(name);

		if (kind >= 0)
			parse_array(c, kind, value, p);
		else
			seam_problems_add(p, name, "unknown name");
	}
	return build_or_release(c, before, p);
}

static struct seam_conf *copy_objects(const struct seam_conf *old,
				      uint64_t version)
{
	struct seam_conf *c = seam_conf_new(version);
	int k;

	for (k = 0; k < SEAM_CONF_KINDS; k++) {
		GHashTableIter it;
		gpointer name;
		gpointer o;

		g_hash_table_iter_init(&it, old->json[k]);
		while (g_hash_table_iter_next(&it, &name, &o))
			put_object(c, k, name, o);
	}
	return c;
}

static int entry_kind(struct json_object *entry, const char *path,
		      struct seam_problems *p)
{
	const char *kind = seam_json_str(entry, "kind", "");
	int k = seam_conf_kind_by_name(kind);

	if (k < 0)
		seam_problems_add(p, path, "unknown kind \"%s\"", kind);
	return k;
}

static void apply_put(struct seam_conf *c, struct json_object *entry,
		      const char *path, struct seam_problems *p)
{
	int kind = entry_kind(entry, path, p);
	struct json_object *o = NULL;
	const char *name;

	if (kind < 0)
		return;
	json_object_object_get_ex(entry, "object", &o);
	name = object_name(o, path, p);
	if (name)
		put_object(c, kind, name, o);
}

static void apply_delete(struct seam_conf *c, struct json_object *entry,
			 const char *path, struct seam_problems *p)
{
	int kind = entry_kind(entry, path, p);
	const char *name = object_name(entry, path, p);

	if (kind < 0 || !name)
		return;
	if (!g_hash_table_remove(c->json[kind], name))
		seam_problems_add(p, path, "no %s \"%s\"",
				  seam_conf_kind_name(kind), name);
}

static void apply_list(struct seam_conf *c, struct json_object *change,
		       const char *list,
		       void (*apply)(struct seam_conf *, struct json_object *,
				     const char *, struct seam_problems *),
		       struct seam_problems *p)
{
	struct json_object *a;
	char path[64];
	size_t i;

	if (!json_object_object_get_ex(change, list, &a))
		return;
	if (!json_object_is_type(a, json_type_array)) {
		seam_problems_add(p, list, "must be an array");
		return;
	}
	for (i = 0; i < json_object_array_length(a); i++) {
		snprintf(path, sizeof(path), "%s[%zu]", list, i);
		apply(c, json_object_array_get_idx(a, i), path, p);
	}
}

struct seam_conf *seam_conf_apply(const struct seam_conf *old,
				  struct json_object *change, uint64_t version,
				  struct seam_problems *p)
{
	size_t before = p->n;
	struct seam_conf *c;

	if (!json_object_is_type(change, json_type_object)) {
		seam_problems_add(p, "change", "must be an object");
		return NULL;
	}
	json_object_object_foreach(change, name, value)
	{
		(void)value;
		if (strcmp(name, "put") && strcmp(name, "delete"))
			seam_problems_add(p, name, "unknown name");
	}
	c = copy_objects(old, version);
	apply_list(c, change, "delete", apply_delete, p);
	apply_list(c, change, "put", apply_put, p);
	return build_or_release(c, before, p);
}

static struct json_object *put_entry(int kind, struct json_object *o)
{
	struct json_object *e = json_object_new_object();

	json_object_object_add(
		e, "kind", json_object_new_string(seam_conf_kind_name(kind)));
	json_object_object_add(e, "object", json_object_get(o));
	return e;
}

static struct json_object *delete_entry(int kind, const char *name)
{
	struct json_object *e = json_object_new_object();

	json_object_object_add(
		e, "kind", json_object_new_string(seam_conf_kind_name(kind)));
	json_object_object_add(e, "name", json_object_new_string(name));
	return e;
}

struct json_object *seam_conf_diff(const struct seam_conf *a,
				   const struct seam_conf *b)
{
	struct json_object *change = json_object_new_object();
	struct json_object *put = json_object_new_array();
	struct json_object *del = json_object_new_array();
	GHashTableIter it;
	gpointer name;
	gpointer o;
	int k;

	for (k = 0; k < SEAM_CONF_KINDS; k++) {
		g_hash_table_iter_init(&it, b->json[k]);
		while (g_hash_table_iter_next(&it, &name, &o)) {
			struct json_object *was =
				g_hash_table_lookup(a->json[k], name);

			if (!was || !json_object_equal(was, o))
				json_object_array_add(put, put_entry(k, o));
		}
		g_hash_table_iter_init(&it, a->json[k]);
		while (g_hash_table_iter_next(&it, &name, &o))
			if (!g_hash_table_contains(b->json[k], name))
				json_object_array_add(del,
						      delete_entry(k, name));
	}
	json_object_object_add(change, "put", put);
	json_object_object_add(change, "delete", del);
	return change;
}

struct json_object *seam_conf_to_json(const struct seam_conf *c)
{
	struct json_object *doc = json_object_new_object();
	int k;

	for (k = 0; k < SEAM_CONF_KINDS; k++) {
		struct json_object *a = json_object_new_array();
		GList *names = g_hash_table_get_keys(c->json[k]);
		GList *l;

		names = g_list_sort(names, (GCompareFunc)strcmp);
		for (l = names; l; l = l->next)
			json_object_array_add(
				a, json_object_get(g_hash_table_lookup(
					   c->json[k], l->data)));
		g_list_free(names);
		json_object_object_add(doc, seam_conf_array_name(k), a);
	}
	return doc;
}
