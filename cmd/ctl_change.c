#include "cmd/ctl.h"

#include <stdio.h>
#include <string.h>

struct json_object *ctl_find(struct json_object *doc, const char *kind,
			     const char *name)
{
	struct json_object *list;
	char array[64];
	size_t i;

	/* Each array is named for its kind with an "s". */
	snprintf(array, sizeof(array), "%ss", kind);
	if (!json_object_object_get_ex(doc, array, &list))
		return NULL;
	for (i = 0; i < json_object_array_length(list); i++) {
		struct json_object *o = json_object_array_get_idx(list, i);

		if (!strcmp(ctl_str(o, "name"), name))
			return o;
	}
	return NULL;
}

static const char *text_of(struct json_object *v)
{
	return v ? json_object_to_json_string_ext(
			   v, JSON_C_TO_STRING_PLAIN |
				      JSON_C_TO_STRING_NOSLASHESCAPE) :
		   "default";
}

static void print_new(struct json_object *o)
{
	json_object_object_foreach(o, name, v)
	{
		if (strcmp(name, "name"))
			printf("    %s: %s\n", name, text_of(v));
	}
}

static void print_members(struct json_object *was, struct json_object *now)
{
	struct json_object *other;

	json_object_object_foreach(now, name, v)
	{
		other = ctl_at(was, name);
		if (json_object_equal(other, v))
			continue;
		printf("    %s: %s -> ", name, text_of(other));
		puts(text_of(v));
	}
	json_object_object_foreach(was, gone, old)
	{
		if (!ctl_at(now, gone))
			printf("    %s: %s -> default\n", gone, text_of(old));
	}
}

static void print_put(struct json_object *entry, struct json_object *doc)
{
	struct json_object *o = ctl_at(entry, "object");
	const char *kind = ctl_str(entry, "kind");
	const char *name = ctl_str(o, "name");
	struct json_object *was = ctl_find(doc, kind, name);

	printf("%s %s %s\n", was ? "change" : "add", kind, name);
	if (was)
		print_members(was, o);
	else
		print_new(o);
}

void ctl_print_change(struct json_object *change, struct json_object *doc)
{
	struct json_object *put = ctl_at(change, "put");
	struct json_object *del = ctl_at(change, "delete");
	size_t puts_n = put ? json_object_array_length(put) : 0;
	size_t dels = del ? json_object_array_length(del) : 0;
	size_t i;

	for (i = 0; i < puts_n; i++)
		print_put(json_object_array_get_idx(put, i), doc);
	for (i = 0; i < dels; i++) {
		struct json_object *o = json_object_array_get_idx(del, i);

		printf("delete %s %s\n", ctl_str(o, "kind"),
		       ctl_str(o, "name"));
	}
	if (!puts_n && !dels)
		puts("No difference.");
}
