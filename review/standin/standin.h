/* Stand-ins for the platform, its minions and its requesters. */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire.inc"

/* One HTTP request that was read completely. */
struct request {
	struct MHD_Connection *conn;
	const char *method;
	const char *path;
	GString *body;
};

typedef enum MHD_Result (*handler)(void *arg, struct request *r);

int64_t now_ms(void);
void sleep_ms(int64_t ms);

/* Appends a line with the time to the record. */
void record_open(const char *file);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

void serve(int port, handler fn, void *arg);
enum MHD_Result reply(struct request *r, int status, const char *text);
enum MHD_Result reply_json(struct request *r, int status,
			   struct json_object *o);
const char *param(struct request *r, const char *name);
const char *header(struct request *r, const char *name);

const char *str_of(struct json_object *o, const char *name);
int64_t int_of(struct json_object *o, const char *name);
void add_str(struct json_object *o, const char *name, const char *value);
void add_int(struct json_object *o, const char *name, int64_t value);

/* The store. */
void store_init(int port);
void store_put(const char *table, const char *key, const char *text);
void store_remove(const char *table, const char *key);

/* A minion; @spec is "ID:PORT:SERVICE:ZONE:CPU". */
void minion_add(const char *spec);
void minions_list(struct json_object *list);
/* The minion that gets the next start crashes for @ms and keeps the start. */
void minions_crash(int64_t ms);

int client_main(int argc, char **argv);

#endif
