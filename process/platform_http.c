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

static int read_list(const char *body, struct seam_vms *out, struct seam_err *e)
{
	struct json_object *o = json_tokener_parse(body);
	struct json_object *list = NULL;
	size_t i;

	json_object_object_get_ex(o, "vms", &list);
	if (json_object_is_type(list, json_type_array))
		out->vm = calloc(json_object_array_length(list) + 1,
				 sizeof(*out->vm));
	if (!out->vm) {
		json_object_put(o);
		return seam_fail(e, SEAM_UNAVAILABLE, "platform: broken list");
	}
	out->n = json_object_array_length(list);
	out->as_of = seam_json_int(o, "as_of", 0);
	for (i = 0; i < out->n; i++)
		read_vm(json_object_array_get_idx(list, i), &out->vm[i]);
	json_object_put(o);
	return 0;
}

static int answered(int status, struct seam_err *e)
{
	if (status == 200)
		return 0;
	if (status == 404)
		return seam_fail(e, SEAM_NOT_FOUND, "no such VM");
	return seam_fail(e, SEAM_UNAVAILABLE, "platform: status %d", status);
}

static int list(struct seam_platform *base, struct seam_vms *out,
		seam_time deadline, struct seam_err *e)
{
	struct platform_http *p = (struct platform_http *)base;
	struct seam_rest_call c = {
		.method = "GET", .path = "/vms", .deadline = deadline};
	struct seam_rest_answer a;
	int rc;

	out->vm = NULL;
	out->n = 0;
	if (seam_rest_do(p->rest, &c, &a, e)) {
		e->kind = SEAM_UNAVAILABLE;
		return -1;
	}
	rc = answered(a.status, e);
	if (!rc)
		rc = read_list(a.body ? a.body : "", out, e);
	free(a.body);
	return rc;
}

static int reboot(struct seam_platform *base, const char *vm, int64_t boot,
		  seam_time deadline, struct seam_err *e)
{
	struct platform_http *p = (struct platform_http *)base;
	char path[400] = "/vms/";
	char body[64];
	struct seam_rest_call c = {.method = "POST",
				   .path = path,
				   .body = body,
				   .deadline = deadline};
	struct seam_rest_answer a;
	size_t n;
	int rc;

	seam_rest_escape(path, sizeof(path) - 8, vm);
	n = strlen(path);
	snprintf(path + n, sizeof(path) - n, "/reboot");
	snprintf(body, sizeof(body), "{\"boot\":%lld}", (long long)boot);
	if (seam_rest_do(p->rest, &c, &a, e)) {
		/* The boot number makes a repeated call harmless. */
		e->kind = SEAM_UNAVAILABLE;
		return -1;
	}
	rc = answered(a.status, e);
	free(a.body);
	return rc;
}

static const struct seam_platform_ops ops = {
	.vms = list,
	.reboot = reboot,
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
