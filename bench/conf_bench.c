/*
 * Cost of a configuration version by number of objects: memory, size as JSON,
 * applying a change, looking up a key.
 */
#include <stdlib.h>
#include <string.h>

#include "bench/measure.h"
#include "version/conf.h"

#define CHANGES 50
#define LOOKUPS 20000
#define OBJECTS_PER_TEAM 4 /* team, two keys, queue */

static void add(struct json_object *a, const char *text)
{
	json_object_array_add(a, json_tokener_parse(text));
}

static struct json_object *document(int teams)
{
	struct json_object *doc = json_object_new_object();
	struct json_object *team = json_object_new_array();
	struct json_object *key = json_object_new_array();
	struct json_object *queue = json_object_new_array();
	struct json_object *pool = json_object_new_array();
	char text[400];
	int i;

	add(pool, "{\"name\":\"batch\",\"kind\":\"tasks\"}");
	for (i = 0; i < teams; i++) {
		char hex[SEAM_SHA256_HEX_SIZE];
		int k;

		snprintf(text, sizeof(text),
			 "{\"name\":\"team-%d\",\"share\":3,\"limit\":400}", i);
		add(team, text);
		snprintf(text, sizeof(text),
			 "{\"name\":\"queue-%d\",\"team\":\"team-%d\","
			 "\"pool\":\"batch\"}",
			 i, i);
		add(queue, text);
		for (k = 0; k < 2; k++) {
			snprintf(text, sizeof(text), "key-%d-%d", i, k);
			seam_sha256_hex(text, hex);
			snprintf(text, sizeof(text),
				 "{\"name\":\"key-%d-%d\",\"team\":\"team-%d\","
				 "\"sha256\":\"%s\"}",
				 i, k, i, hex);
			add(key, text);
		}
	}
	json_object_object_add(doc, "pools", pool);
	json_object_object_add(doc, "teams", team);
	json_object_object_add(doc, "queues", queue);
	json_object_object_add(doc, "keys", key);
	return doc;
}

static double apply_us(struct seam_conf *c)
{
	struct seam_problems p = {.file = "bench"};
	struct json_object *change = json_tokener_parse(
		"{\"put\":[{\"kind\":\"team\",\"object\":{\"name\":\"x\"}}]}");
	int64_t start = cpu_ns();
	int i;

	for (i = 0; i < CHANGES; i++)
		seam_conf_unref(seam_conf_apply(c, change, 2, &p));
	start = cpu_ns() - start;
	json_object_put(change);
	seam_problems_free(&p);
	return (double)start / CHANGES / 1000;
}

static double lookup_ns(struct seam_conf *c)
{
	struct seam_err e = SEAM_ERR_INIT;
	int64_t start = cpu_ns();
	int i;

	for (i = 0; i < LOOKUPS; i++)
		if (!seam_conf_authenticate(c, "key-3-1", &e))
			abort();
	return (double)(cpu_ns() - start) / LOOKUPS;
}

struct fits {
	struct fit heap, apply, bytes;
};

static void measure(int teams, struct fits *f)
{
	struct seam_problems p = {.file = "bench"};
	struct json_object *doc = document(teams);
	size_t bytes = strlen(
		json_object_to_json_string_ext(doc, JSON_C_TO_STRING_PLAIN));
	int objects = teams * OBJECTS_PER_TEAM + 1;
	size_t heap;
	struct seam_conf *c;
	double apply;

	json_object_put(doc);
	malloc_trim(0);
	heap = heap_bytes();
	doc = document(teams);
	c = seam_conf_parse(doc, 1, &p);
	json_object_put(doc);
	if (!c)
		abort();
	heap = heap_bytes() - heap;
	apply = apply_us(c);
	printf("%8d %10zu %12zu %12.0f %10.0f\n", objects, bytes, heap, apply,
	       lookup_ns(c));
	fit_add(&f->heap, objects, (double)heap);
	fit_add(&f->apply, objects, apply);
	fit_add(&f->bytes, objects, (double)bytes);
	seam_conf_unref(c);
}

int main(void)
{
	static const int sizes[] = {6, 60, 200, 710, 2000};
	struct fits f = {0};
	size_t i;

	printf("%8s %10s %12s %12s %10s\n", "objects", "json_bytes",
	       "heap_bytes", "apply_us", "lookup_ns");
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		measure(sizes[i], &f);
	fit_print("configuration heap", "bytes", "object", &f.heap);
	fit_print("configuration apply", "us", "object", &f.apply);
	fit_print("configuration json", "bytes", "object", &f.bytes);
	return 0;
}
