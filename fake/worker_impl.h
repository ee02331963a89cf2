#ifndef SEAM_FAKE_WORKER_IMPL_H
#define SEAM_FAKE_WORKER_IMPL_H

/* Shared by the files of the fake worker only. */

#include <glib.h>
#include <pthread.h>

#include "fake/fake.h"

/* What a worker keeps of the last attempt of a task that it heard of. */
struct rec {
	char task[SEAM_TASK_ID];
	int64_t attempt;
	uint64_t token;
	int say;
	bool once;
	bool fails;
	bool deaf; /* takes no notice of a throttle */
	struct seam_need need;
	struct seam_need usage;
	seam_time lease_until;
	seam_time end_at;
	seam_time stop_at;
	seam_time ended_at;
	char reason[96];
};

struct worker {
	struct seam_vm vm;
	struct seam_fake_worker_faults faults;
	GHashTable *recs; /* task to struct rec */
};

struct seam_fake_workers {
	struct seam_clock *clock;
	pthread_mutex_t lock;
	uint64_t seed;
	GHashTable *workers; /* id to struct worker */
	GHashTable *starts; /* task to number of starts */
	GHashTable *out; /* data centre to seam_time */
	int all_starts;
};

/* Returns -1 if no answer comes. */
int seam_fake_do(struct seam_fake_workers *f, const char *id,
		 const struct seam_worker_cmd *c,
		 struct seam_worker_report *out);

/* The worker knows no call with several renewals. */
bool seam_fake_single(struct seam_fake_workers *f, const char *id);

/* Appends a struct seam_worker_report for each task that worker @id lists. */
void seam_fake_list(struct seam_fake_workers *f, const char *id, GArray *out);

#endif
