#include "process/settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define F(member, kind, ...)                                         \
	{                                                            \
		.name = #member, .type = (kind),                     \
		.off = offsetof(struct seam_settings, member),       \
		.size = sizeof(((struct seam_settings *)0)->member), \
		__VA_ARGS__                                          \
	}
#define INT(member, lo, hi) F(member, SEAM_JSON_INT, .min = (lo), .max = (hi))

static const char *const levels[] = {"debug", "info", "warning", "error", NULL};

static const char *const sizings[] = {"ready", "thrifty", NULL};

static const struct seam_json_field fields[] = {
	F(node, SEAM_JSON_NAME, .required = true),
	F(vm, SEAM_JSON_NAME),
	F(data_centre, SEAM_JSON_NAME, .required = true),
	F(listen, SEAM_JSON_TEXT, .required = true),
	F(peer, SEAM_JSON_TEXT, .required = true),
	F(seeds, SEAM_JSON_TEXT),
	F(store, SEAM_JSON_TEXT, .required = true),
	F(operator_sha256, SEAM_JSON_TEXT, .required = true),
	F(cluster_key, SEAM_JSON_TEXT, .required = true),
	INT(threads, 2, 4096),
	INT(drain_ms, 100, 300000),
	INT(stale_serve_ms, 1000, 3600000),
	INT(stale_key_ms, 1000, 60000),
	INT(clock_skew_ms, 0, 10000),
	INT(vm_list_ms, 1000, 600000),
	INT(lease_ms, 1000, 600000),
	INT(store_writes, 1, 1000000),
	INT(store_reads, 1, 1000000),
	F(sizing, SEAM_JSON_CHOICE, .choices = sizings),
	F(log_level, SEAM_JSON_CHOICE, .choices = levels),
};

void seam_settings_default(struct seam_settings *s)
{
	memset(s, 0, sizeof(*s));
	s->threads = 1024;
	s->drain_ms = 30000;
	s->stale_serve_ms = 300000;
	s->stale_key_ms = 10000;
	s->clock_skew_ms = 200;
	s->vm_list_ms = 30000;
	s->lease_ms = 15000;
	s->store_writes = 300;
	s->store_reads = 1500;
	s->sizing = SEAM_SIZING_READY;
	s->log_level = 1;
}

int seam_settings_check_addr(const char *name, const char *addr,
			     struct seam_problems *p)
{
	char ip[64];
	unsigned char bin[16];
	const char *colon = strrchr(addr, ':');
	char *end;
	long port;

	if (!colon)
		return seam_problems_add(p, name, "must be IP:PORT");
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - addr), addr);
	port = strtol(colon + 1, &end, 10);
	if (inet_pton(AF_INET, ip, bin) != 1)
		return seam_problems_add(p, name,
					 "\"%s\" is not an IPv4 address", ip);
	if (*end || end == colon + 1 || port < 1 || port > 65535)
		return seam_problems_add(p, name,
					 "port must be from 1 to 65535");
	return 0;
}

static void check_store(const char *store, struct seam_problems *p)
{
	if (!strcmp(store, "memory"))
		return;
	if (strncmp(store, "http://", 7))
		seam_problems_add(p, "store",
				  "must be \"memory\" or http://IP:PORT");
	else
		seam_settings_check_addr("store", store + 7, p);
}

int seam_settings_read(struct json_object *o, struct seam_settings *s,
		       struct seam_problems *p)
{
	size_t before = p->n;

	seam_settings_default(s);
	if (seam_json_decode(o, fields, sizeof(fields) / sizeof(*fields), s, "",
			     p) &&
	    !json_object_is_type(o, json_type_object))
		return -1;
	if (*s->listen)
		seam_settings_check_addr("listen", s->listen, p);
	if (*s->peer)
		seam_settings_check_addr("peer", s->peer, p);
	if (*s->store)
		check_store(s->store, p);
	if (*s->listen && !strcmp(s->listen, s->peer))
		seam_problems_add(p, "peer",
				  "is the same address as \"listen\"");
	if (*s->operator_sha256 &&
	    (strlen(s->operator_sha256) != 64 ||
	     strspn(s->operator_sha256, "0123456789abcdef") != 64))
		seam_problems_add(p, "operator_sha256",
				  "must be 64 lower-case hex digits");
	if (s->stale_serve_ms < s->stale_key_ms)
		seam_problems_add(p, "stale_serve_ms",
				  "must not be less than \"stale_key_ms\"");
	if (!*s->vm)
		memcpy(s->vm, s->node, sizeof(s->vm));
	return p->n == before ? 0 : -1;
}

int seam_settings_read_file(const char *name, struct seam_settings *s,
			    struct seam_problems *p)
{
	size_t before = p->n;
	struct json_object *o = seam_json_parse_file(name, p);

	if (!o)
		return -1;
	seam_settings_read(o, s, p);
	json_object_put(o);
	return p->n == before ? 0 : -1;
}
