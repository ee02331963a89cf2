#include "process/platform_settings.h"
#include "process/settings.h"

#include <stddef.h>
#include <string.h>

#define F(member, kind, ...)                                                  \
	{                                                                     \
		.name = #member, .type = (kind),                              \
		.off = offsetof(struct seam_platform_settings, member),       \
		.size = sizeof(((struct seam_platform_settings *)0)->member), \
		__VA_ARGS__                                                   \
	}
#define INT(member, lo, hi) F(member, SEAM_JSON_INT, .min = (lo), .max = (hi))
#define REAL(member, lo, hi) F(member, SEAM_JSON_REAL, .min = (lo), .max = (hi))

static const char *const levels[] = {"debug", "info", "warning", "error", NULL};

static const struct seam_json_field fields[] = {
	F(node, SEAM_JSON_NAME, .required = true),
	F(data_centre, SEAM_JSON_NAME, .required = true),
	F(listen, SEAM_JSON_TEXT, .required = true),
	F(ready, SEAM_JSON_TEXT, .required = true),
	F(control, SEAM_JSON_TEXT, .required = true),
	F(seeds, SEAM_JSON_TEXT),
	F(store, SEAM_JSON_TEXT, .required = true),
	F(vm_service, SEAM_JSON_TEXT, .required = true),
	INT(threads, 0, 4096),
	INT(grace_ms, 500, 600000),
	INT(lease_max_ms, 1000, 600000),
	INT(vm_lease_ms, 100, 600000),
	REAL(vm_orders_per_s, 0, 100000),
	REAL(cpu_share, 0, 1024),
	REAL(cores, 0, 1024),
	INT(memory_mb, 16, 1 << 20),
	INT(descriptors, 256, 1 << 20),
	F(log_level, SEAM_JSON_CHOICE, .choices = levels),
};

/*
 * A connection with its thread takes 55 KB: 24 for the head of a request, the
 * rest for the touched part of its stack and for buffers.
 */
#define CONNECTION_KB 64
#define MEMORY_DIVISOR 4 /* connections may take 1/4 of the memory */
#define RESERVED_DESCRIPTORS 200 /* for files, as on the users' machines */
#define DESCRIPTORS_DIVISOR 2 /* the others are for calls to other programs */
#define DEFAULT_THREADS_MAX 1024
#define DEFAULT_THREADS_MIN 64

/* Connections that the memory and the descriptors of the node bear. */
static int64_t default_threads(const struct seam_platform_settings *s)
{
	int64_t memory = s->memory_mb * 1024 / MEMORY_DIVISOR / CONNECTION_KB;
	int64_t descriptors =
		(s->descriptors - RESERVED_DESCRIPTORS) / DESCRIPTORS_DIVISOR;
	int64_t n = memory < descriptors ? memory : descriptors;

	if (n < DEFAULT_THREADS_MIN)
		return DEFAULT_THREADS_MIN;
	return n < DEFAULT_THREADS_MAX ? n : DEFAULT_THREADS_MAX;
}

static void set_defaults(struct seam_platform_settings *s)
{
	memset(s, 0, sizeof(*s));
	s->grace_ms = 6000;
	s->lease_max_ms = 6000;
	s->vm_lease_ms = 3000;
	s->vm_orders_per_s = 20;
	s->cpu_share = 1;
	s->cores = 1;
	s->memory_mb = 256;
	s->descriptors = 4096;
	s->log_level = 1;
}

int seam_platform_settings_read_file(const char *name,
				     struct seam_platform_settings *s,
				     struct seam_problems *p)
{
	size_t before = p->n;
	struct json_object *o = seam_json_parse_file(name, p);
	const struct {
		const char *name;
		const char *addr;
	} addresses[] = {
		{"listen", s->listen},	       {"ready", s->ready},
		{"control", s->control},       {"store", s->store},
		{"vm_service", s->vm_service},
	};
	size_t i;

	if (!o)
		return -1;
	set_defaults(s);
	seam_json_decode(o, fields, sizeof(fields) / sizeof(*fields), s, "", p);
	json_object_put(o);
	if (!s->threads)
		s->threads = default_threads(s);
	for (i = 0; i < sizeof(addresses) / sizeof(*addresses); i++)
		if (*addresses[i].addr)
			seam_settings_check_addr(addresses[i].name,
						 addresses[i].addr, p);
	return p->n == before ? 0 : -1;
}
