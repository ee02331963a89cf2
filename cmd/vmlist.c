#include "cmd/vmlist.h"
#include "base/json.h"

#include <stdlib.h>

#define FIELD(name_, kind, member, ...)                        \
	{                                                      \
		.name = (name_), .type = (kind),               \
		.off = offsetof(struct seam_vm, member),       \
		.size = sizeof(((struct seam_vm *)0)->member), \
		.max = INT32_MAX, __VA_ARGS__                  \
	}

static const struct seam_json_field fields[] = {
	FIELD("id", SEAM_JSON_NAME, id, .required = true),
	FIELD("data_centre", SEAM_JSON_NAME, dc, .required = true),
	FIELD("rack", SEAM_JSON_NAME, rack),
	FIELD("addr", SEAM_JSON_TEXT, addr),
	FIELD("pool", SEAM_JSON_NAME, pool),
	FIELD("cpu_milli", SEAM_JSON_INT, cpu_milli),
	FIELD("memory_mb", SEAM_JSON_INT, memory_mb),
	FIELD("accelerators", SEAM_JSON_INT, accelerators),
};

int cmd_read_vm_list(const char *file, struct seam_vms *out, struct seam_err *e)
{
	struct seam_problems p = {.file = file};
	struct json_object *o = seam_json_parse_file(file, &p);
	size_t n = 0;
	int rc = 0;
	size_t i;

	if (json_object_is_type(o, json_type_array))
		n = json_object_array_length(o);
	else
		seam_problems_add(&p, "", "must be an array");
	out->n = 0;
	out->vm = calloc(n + 1, sizeof(*out->vm));
	for (i = 0; out->vm && i < n; i++)
		if (!seam_json_decode(json_object_array_get_idx(o, i), fields,
				      sizeof(fields) / sizeof(*fields),
				      &out->vm[out->n], "vm", &p))
			out->n++;
	if (p.n) {
		rc = seam_problems_to_err(&p, SEAM_BAD_CONFIG, e);
		seam_vms_free(out);
	}
	seam_problems_free(&p);
	json_object_put(o);
	return rc;
}
