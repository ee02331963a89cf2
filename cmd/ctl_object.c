#include "cmd/ctl.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

/* A new version normally reaches every daemon within a second. */
#define ATTEMPTS_MAX 5
#define RETRY_DELAY_MS 400

static struct json_object *put_change(const char *kind, struct json_object *o)
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

/* A response with the configuration, and one object of it. */
struct fetched_object {
	struct json_object *response;
	struct json_object *object; /* owned by @response */
};

static int fetch_object(struct ctl *a, const char *kind,
			struct fetched_object *r, struct seam_err *e)
{
	struct json_object *config = NULL;

	r->object = NULL;
	r->response =
		seam_client_call(&a->client, "GET", "/v1/config", NULL, e);
	if (!r->response)
		return -1;
	if (json_object_object_get_ex(r->response, "config", &config))
		r->object = ctl_find_object(config, kind, a->argv[2]);
	if (r->object)
		return 0;
	json_object_put(r->response);
	return seam_fail(e, SEAM_NOT_FOUND, "no %s %s", kind, a->argv[2]);
}

/*
 * A conflict is retried, because the daemon may not have had the newest version
 * or another operator may have changed another object. The change is made only
 * while this object is as it was first read. An expected version given on the
 * command line is never retried.
 */
static bool wait_before_retry(struct ctl *a, const struct seam_err *e,
			      int attempts)
{
	const struct timespec delay = {0, RETRY_DELAY_MS * 1000000L};

	if (e->kind != SEAM_CONFLICT || a->expect >= 0 ||
	    attempts >= ATTEMPTS_MAX)
		return false;
	nanosleep(&delay, NULL);
	return true;
}

/* The member to set, and the object as it was first read. */
struct member_update {
	const char *kind;
	const char *member;
	const char *value;
	struct json_object *original;
};

/* If the object has changed, @e keeps the conflict of the previous attempt. */
static int try_update(struct ctl *a, struct member_update *u,
		      struct seam_err *e)
{
	struct seam_err read_err = SEAM_ERR_INIT;
	struct json_object *change;
	struct fetched_object r;
	int rc;

	if (fetch_object(a, u->kind, &r, &read_err)) {
		*e = read_err;
		return -1;
	}
	if (u->original && !json_object_equal(u->original, r.object)) {
		json_object_put(r.response);
		return -1;
	}
	if (!u->original)
		json_object_deep_copy(r.object, &u->original, NULL);
	json_object_object_add(r.object, u->member,
			       json_object_new_string(u->value));
	change = put_change(u->kind, r.object);
	seam_err_clear(e);
	rc = ctl_try_send_change(
		a, change, (uint64_t)seam_json_int(r.response, "version", 0),
		e);
	json_object_put(change);
	json_object_put(r.response);
	return rc;
}

/* Sets one text member of one object and leaves the others as they are. */
static int set_member(struct ctl *a, const char *kind, const char *member,
		      const char *value)
{
	struct member_update u = {kind, member, value, NULL};
	struct seam_err e = SEAM_ERR_INIT;
	int attempts = 0;
	int rc;

	do
		rc = try_update(a, &u, &e);
	while (rc && wait_before_retry(a, &e, ++attempts));
	json_object_put(u.original);
	return rc ? ctl_report_error(&e) : CTL_DONE;
}

int ctl_dc(struct ctl *a)
{
	if (strcmp(a->argv[1], "out") && strcmp(a->argv[1], "in")) {
		fprintf(stderr, "seamctl: dc takes out or in\n");
		return CTL_USAGE;
	}
	return set_member(a, "data_centre", "state", a->argv[1]);
}

int ctl_key(struct ctl *a)
{
	if (!strcmp(a->argv[1], "withdraw"))
		return set_member(a, "key", "state", "withdrawn");
	if (!strcmp(a->argv[1], "grant"))
		return set_member(a, "key", "state", "granted");
	fprintf(stderr, "seamctl: key takes withdraw or grant\n");
	return CTL_USAGE;
}
