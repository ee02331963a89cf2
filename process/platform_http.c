#include "base/json.h"
#include "process/platform.h"
#include "process/rest.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

struct platform_http {
	struct seam_platform base;
	struct seam_rest *rest;
};

static void read_vm(struct json_object *o, struct seam_vm *vm)
{
	const char *state = seam_json_str(o, "state", "");

	snprintf(vm->id, sizeof(vm->id), "%s", seam_json_str(o, "id", ""));
	snprintf(vm->dc, sizeof(vm->dc), "%s",
		 seam_json_str(o, "data_centre", ""));
	snprintf(vm->rack, sizeof(vm->rack), "%s",
		 seam_json_str(o, "rack", ""));
	snprintf(vm->addr, sizeof(vm->addr), "%s",
		 seam_json_str(o, "addr", ""));
	snprintf(vm->pool, sizeof(vm->pool), "%s",
		 seam_json_str(o, "pool", ""));
	vm->state = *state == 'l' && state[1] == 'i' ? SEAM_VM_LIVE :
						       SEAM_VM_LEAVING;
	vm->cpu_milli = seam_json_int(o, "cpu_milli", 0);
	vm->memory_mb = seam_json_int(o, "memory_mb", 0);
	vm->accelerators = seam_json_int(o, "accelerators", 0);
	vm->boot = seam_json_int(o, "boot", 0);
}

static int read_vms(struct json_object *list, struct seam_vms *out)
{
	size_t i;

	if (!json_object_is_type(list, json_type_array))
		return -1;
	out->n = json_object_array_length(list);
	out->vm = calloc(out->n + 1, sizeof(*out->vm));
	for (i = 0; out->vm && i < out->n; i++) {
		read_vm(json_object_array_get_idx(list, i), &out->vm[i]);
		if (!*out->vm[i].id)
			return -1;
	}
	return out->vm ? 0 : -1;
}

static int read_removed_ids(struct json_object *list, struct seam_vms *out)
{
	size_t i;

	if (!json_object_is_type(list, json_type_array))
		return -1;
	out->gone_n = json_object_array_length(list);
	out->gone = calloc(out->gone_n + 1, sizeof(*out->gone));
	for (i = 0; out->gone && i < out->gone_n; i++) {
		const char *id = json_object_get_string(
			json_object_array_get_idx(list, i));

		snprintf(out->gone[i], sizeof(out->gone[i]), "%s",
			 id ? id : "");
	}
	return out->gone ? 0 : -1;
}

/*
 * A response with changes repeats the cursor of the request. A response without
 * it has the whole list, as from a platform that ignores the parameter.
 */
static int read_list(const char *body, const char *since, struct seam_vms *out,
		     struct seam_err *e)
{
	struct json_object *o = json_tokener_parse(body);
	const char *base_cursor = seam_json_str(o, "since", "");
	struct json_object *list = NULL;
	int rc;

	json_object_object_get_ex(o, "vms", &list);
	rc = read_vms(list, out);
	out->as_of = seam_json_int(o, "as_of", 0);
	out->total = (size_t)seam_json_int(o, "total", 0);
	out->change = *base_cursor != '\0';
	list = NULL;
	json_object_object_get_ex(o, "gone", &list);
	if (!rc && out->change)
		rc = strcmp(base_cursor, since) ? -1 :
						  read_removed_ids(list, out);
	if ((size_t)snprintf(out->cursor, sizeof(out->cursor), "%s",
			     seam_json_str(o, "cursor", "")) >=
	    sizeof(out->cursor))
		out->cursor[0] = '\0';
	json_object_put(o);
	if (!rc)
		return 0;
	seam_vms_free(out);
	return seam_fail(e, SEAM_UNAVAILABLE, "platform: malformed VM list");
}

static int check_status(int status, struct seam_err *e)
{
	if (status == 200)
		return 0;
	if (status == 404)
		return seam_fail(e, SEAM_NOT_FOUND, "no such VM");
	return seam_fail(e, SEAM_UNAVAILABLE, "platform: HTTP status %d",
			 status);
}

static int get_list(struct platform_http *p, const char *path,
		    const char *since, struct seam_vms *out, seam_time deadline,
		    struct seam_err *e)
{
	struct seam_rest_request c = {
		.method = "GET", .path = path, .deadline = deadline};
	struct seam_rest_response a;
	int rc;

	memset(out, 0, sizeof(*out));
	if (seam_rest_do(p->rest, &c, &a, e)) {
		e->kind = SEAM_UNAVAILABLE;
		return -1;
	}
	rc = check_status(a.status, e);
	if (!rc)
		rc = read_list(a.body ? a.body : "", since, out, e);
	free(a.body);
	return rc;
}

static int list_vms(struct seam_platform *base, struct seam_vms *out,
		    seam_time deadline, struct seam_err *e)
{
	struct platform_http *p = (struct platform_http *)base;

	return get_list(p, "/vms", "", out, deadline, e);
}

static int list_changes(struct seam_platform *base, const char *since,
			struct seam_vms *out, seam_time deadline,
			struct seam_err *e)
{
	struct platform_http *p = (struct platform_http *)base;
	char path[16 + 3 * SEAM_CURSOR_MAX] = "/vms?since=";

	seam_rest_escape(path, sizeof(path), since);
	return get_list(p, path, since, out, deadline, e);
}

static int reboot(struct seam_platform *base, const char *vm, int64_t boot,
		  seam_time deadline, struct seam_err *e)
{
	struct platform_http *p = (struct platform_http *)base;
	char path[400] = "/vms/";
	char body[64];
	struct seam_rest_request c = {.method = "POST",
				      .path = path,
				      .body = body,
				      .deadline = deadline};
	struct seam_rest_response a;
	size_t n;
	int rc;

	seam_rest_escape(path, sizeof(path) - 8, vm);
	n = strlen(path);
	snprintf(path + n, sizeof(path) - n, "/reboot");
	snprintf(body, sizeof(body), "{\"boot\":%lld}", (long long)boot);
	if (seam_rest_do(p->rest, &c, &a, e)) {
		/* The boot number makes a repeated call safe. */
		e->kind = SEAM_UNAVAILABLE;
		return -1;
	}
	rc = check_status(a.status, e);
	free(a.body);
	return rc;
}

static const struct seam_platform_ops ops = {
	.vms = list_vms,
	.reboot = reboot,
	.changes = list_changes,
};

struct seam_platform *seam_platform_http_new(struct seam_clock *k,
					     const char *url)
{
	struct platform_http *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->base.ops = &ops;
	p->rest = seam_rest_new(k, url);
	return &p->base;
}

void seam_platform_http_free(struct seam_platform *p)
{
	struct platform_http *h = (struct platform_http *)p;

	if (!h)
		return;
	seam_rest_free(h->rest);
	free(h);
}
