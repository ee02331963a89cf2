/*
 * Stand-ins for a small deployment, in one process: the platform's store and
 * machine service, minions and requesters. The daemon under test runs as
 * processes of its own.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "wire.inc"

#define NODES_MAX 8
#define MINIONS_MAX 32

/* The bounds of sites/kotva-sched.toml. */
#define MAX_HOLD_MS 10000
#define GRACE_S 6
#define HEARTBEAT_MS 1500
#define ROW_BYTES 65536
#define TX_BYTES (1 << 20)
#define FINISH_S 14

int64_t now_ms(void);
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* HTTP */
struct reply {
	int status; /* 0: the call gets no answer */
	GString *body;
};
typedef void (*handler)(void *arg, const char *method, const char *path,
			const char *head, const char *body, struct reply *r);
int http_listen(int port, handler fn, void *arg); /* returns the port */
int http_call(int port, const char *method, const char *path, const char *head,
	      const char *body, int timeout_ms, char **answer);

/* Store */
void store_init(void);
void store_handler(void *arg, const char *method, const char *path,
		   const char *head, const char *body, struct reply *r);
void store_put(const char *table, const char *part, const char *key,
	       const char *text);
char *store_get(const char *table, const char *part, const char *key);
/* Adds a row that lies outside the history of changes. */
void store_put_old(const char *table, const char *part, const char *key,
		   const char *base64);
/* The next transactions with a new row of this table get no answer; they are
 * performed 1 to 6 s later if their condition still holds. */
extern const char *store_lose_table;
extern int store_lose;
extern int64_t store_largest_value;
extern int64_t store_refused;
extern int64_t store_rows_read;

/* Minions */
struct task {
	char name[64];
	int64_t run;
	int64_t end_at;
	bool fails;
	int64_t cpu;
};

struct minion {
	char id[32];
	char machine[32];
	char service[32];
	char zone[32];
	char label[32];
	int port;
	int64_t cpu;
	int64_t mem;
	int64_t born;
	int64_t clock_base;
	int64_t fence;
	int64_t lease;
	int64_t ends;
	int64_t acked;
	int64_t sequence;
	GHashTable *tasks;
	GHashTable *highest;
	GPtrArray *finished;
	bool grey; /* fails all that it starts */
	bool cut; /* answers no call and executes none */
	bool down; /* its process does not run */
	int64_t starts;
};

extern struct minion minion[MINIONS_MAX];
extern int minions;
struct minion *minion_add(const char *service, const char *zone,
			  const char *label, int64_t cpu, int64_t mem);
void minions_start(void);
int64_t minions_running(const char *job_prefix);
/* Called with the lock held for each start and each end. */
extern void (*on_task)(struct minion *m, const char *name, int64_t run,
		       const char *what);
/* Called with the lock held when an end that is done is acknowledged. */
extern void (*on_ack)(struct minion *m, const char *name, int64_t run);
/* Share of orders without an answer that are carried out 2 to 12 s later. */
extern double late_share;
extern int64_t late_orders;
/* The process of the minion ends; it starts again under its id. */
void minion_crash(struct minion *m);
void minion_restart(struct minion *m);
/* Called with the lock held, with the spec of each start. */
extern void (*on_spec)(struct minion *m, const char *task,
		       struct json_object *spec);
/* CPU of a task and how long it works, by the job's id. */
void job_describe(const char *id, int64_t cpu, int64_t work_ms);

/* The daemon */
struct node {
	char name[32];
	char zone[32];
	int front, ready, control, store, cloud;
	pid_t pid;
};

extern struct node node[NODES_MAX];
extern int nodes;
struct node *node_add(const char *zone);
void node_start(struct node *n);
void node_kill(struct node *n, int sig);
void nodes_stop(void);
int owner_index(void); /* by lead/owner; -1 if nobody is */
bool wait_for_owner(int timeout_ms);

/* Requesters */
int job_post(struct node *n, const char *id, const char *key, const char *body);
/* Returns the status; @state receives the state, or "". */
int job_state(struct node *n, const char *id, const char *key, char *state,
	      size_t size);

extern bool trouble;
void world_open(const char *dir, const char *daemon, const char *record);
void world_config(const char *json);
int world_close(int rc);

#endif
