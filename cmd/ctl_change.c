#include "cmd/ctl.h"

#include <stdio.h>
#include <string.h>

struct json_object *ctl_find_object(struct json_object *doc, const char *kind,
				    const char *name)
{
	struct json_object *list;
	char array[64];
	size_t i;

	/* The array of a kind has the name of the kind with an "s" appended. */
	snprintf(array, sizeof(array), "%ss", kind);
	if (!json_object_object_get_ex(doc, array, &list))
		return NULL;
	for (i = 0; i < json_object_array_length(list); i++) {
		struct json_object *o = json_object_array_get_idx(list, i);

		if (!strcmp(ctl_get_str(o, "name"), name))
			return o;
	}
	return NULL;
}

static const char *json_text(struct json_object *v)
{
	return v ? json_object_to_json_string_ext(
			   v, JSON_C_TO_STRING_PLAIN |
				      JSON_C_TO_STRING_NOSLASHESCAPE) :
		   "default";
}

static void print_added_object(struct json_object *o)
{
	json_object_object_foreach(o, name, v)
	{
		if (strcmp(name, "name"))
			printf("    %s: %s\n", name, json_text(v));
	}
}

static void print_changed_members(struct json_object *before,
				  struct json_object *after)
{
	struct json_object *other;

	json_object_object_foreach(after, name, v)
	{
		other = ctl_get(before, name);
		if (json_object_equal(other, v))
			continue;
		printf("    %s: %s -> ", name, json_text(other));
		puts(json_text(v));
	}
	json_object_object_foreach(before, removed, old)
	{
		if (!ctl_get(after, removed))
			printf("    %s: %s -> default\n", removed,
			       json_text(old));
	}
}

static void print_put(struct json_object *entry, struct json_object *doc)
{
	struct json_object *o = ctl_get(entry, "object");
	const char *kind = ctl_get_str(entry, "kind");
	const char *name = ctl_get_str(o, "name");
	struct json_object *before = ctl_find_object(doc, kind, name);

	printf("%s %s %s\n", before ? "change" : "add", kind, name);
	if (before)
		print_changed_members(before, o);
	else
		print_added_object(o);
}

void ctl_print_change(struct json_object *change, struct json_object *doc)
{
	struct json_object *put = ctl_get(change, "put");
	struct json_object *del = ctl_get(change, "delete");
	size_t put_count = put ? json_object_array_length(put) : 0;
	size_t delete_count = del ? json_object_array_length(del) : 0;
	size_t i;

	for (i = 0; i < put_count; i++)
		print_put(json_object_array_get_idx(put, i), doc);
	for (i = 0; i < delete_count; i++) {
		struct json_object *o = json_object_array_get_idx(del, i);

		printf("delete %s %s\n", ctl_get_str(o, "kind"),
		       ctl_get_str(o, "name"));
	}
	if (!put_count && !delete_count)
		puts("No difference.");
}
