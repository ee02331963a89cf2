#include "cmd/ctl.h"

#include <stdio.h>
#include <string.h>

static struct json_object *find_named(struct json_object *config,
				      const char *array, const char *name)
{
	struct json_object *list;
	size_t i;

	if (!json_object_object_get_ex(config, array, &list))
		return NULL;
	for (i = 0; i < json_object_array_length(list); i++) {
		struct json_object *o = json_object_array_get_idx(list, i);

		if (!strcmp(seam_json_str(o, "name", ""), name))
			return o;
	}
	return NULL;
}

static struct json_object *put_of(const char *kind, struct json_object *o)
{
	struct json_object *entry = json_object_new_object();
	struct json_object *put = json_object_new_array();
	struct json_object *change = json_object_new_object();

	json_object_object_add(entry, "kind", json_object_new_string(kind));
	json_object_object_add(entry, "object", json_object_get(o));
	json_object_array_add(put, entry);
	json_object_object_add(change, "put", put);
	return change;
}

/* Sets one text member of one object; everything else stays as it is. */
static int set_member(struct ctl *a, const char *kind, const char *array,
		      const char *member, const char *value)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *answer =
		seam_client_call(&a->client, "GET", "/v1/config", NULL, &e);
	struct json_object *config = NULL;
	struct json_object *o = NULL;
	struct json_object *change;
	int rc;

	if (!answer)
		return ctl_refused(&e);
	if (json_object_object_get_ex(answer, "config", &config))
		o = find_named(config, array, a->word[2]);
	if (!o) {
		json_object_put(answer);
		seam_fail(&e, SEAM_NOT_FOUND, "no %s %s", kind, a->word[2]);
		return ctl_refused(&e);
	}
	json_object_object_add(o, member, json_object_new_string(value));
	change = put_of(kind, o);
	rc = ctl_send(a, change, (uint64_t)seam_json_int(answer, "version", 0));
	json_object_put(change);
	json_object_put(answer);
	return rc;
}

int ctl_dc(struct ctl *a)
{
	if (strcmp(a->word[1], "out") && strcmp(a->word[1], "in")) {
		fprintf(stderr, "seamctl: dc takes out or in\n");
		return CTL_USAGE;
	}
	return set_member(a, "data_centre", "data_centres", "state",
			  a->word[1]);
}

int ctl_key(struct ctl *a)
{
	if (!strcmp(a->word[1], "withdraw"))
		return set_member(a, "key", "keys", "state", "withdrawn");
	if (!strcmp(a->word[1], "grant"))
		return set_member(a, "key", "keys", "state", "granted");
	fprintf(stderr, "seamctl: key takes withdraw or grant\n");
	return CTL_USAGE;
}
