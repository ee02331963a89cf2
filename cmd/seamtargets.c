/*
 * seamtargets - fake targets and workers of a VM list, for tests
 *
 * Exit codes: 0 after SIGTERM or SIGINT, 2 for a wrong command line, 3 for an
 * invalid file, 4 if an address cannot be used.
 */
#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/common.h"
#include "cmd/vmlist.h"
#include "fake/fake.h"

enum { EXIT_USAGE = 2, EXIT_FILE, EXIT_START };

#define TARGET_THREADS 24
#define SERVERS_MAX 512

const char *argp_program_version = "seamtargets 0.1";

struct args {
	const char *vms;
	const char *pool;
};

static const struct argp_option options[] = {
	{"vms", 'v', "FILE", 0, "VM list, as for seamplatform", 0},
	{"workers", 'w', "POOL", 0, "pool whose VMs are workers", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case 'v':
		a->vms = arg;
		return 0;
	case 'w':
		a->pool = arg;
		return 0;
	case ARGP_KEY_END:
		if (!a->vms)
			argp_error(state, "--vms is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.doc = "Runs a fake target or worker for every VM of a list that has a "
	       "pool and an address.",
};

/* Servers of the VMs of a list: element i is set in one of the two arrays. */
struct servers {
	struct seam_fake_workers *workers;
	struct seam_fake_worker_http *worker[SERVERS_MAX];
	struct seam_fake_target *target[SERVERS_MAX];
	size_t n;
};

static int serve(struct servers *s, const struct seam_vm *vm, bool worker)
{
	bool ok;

	if (s->n == SERVERS_MAX)
		return -1;
	if (worker) {
		seam_fake_workers_add(s->workers, vm);
		s->worker[s->n] =
			seam_fake_worker_http_new(s->workers, vm->id, vm->addr);
		ok = s->worker[s->n];
	} else {
		s->target[s->n] =
			seam_fake_target_new(vm->id, vm->addr, TARGET_THREADS);
		ok = s->target[s->n];
	}
	if (!ok) {
		fprintf(stderr, "seamtargets: cannot use address %s\n",
			vm->addr);
		return -1;
	}
	s->n++;
	return 0;
}

static int serve_all(struct servers *s, const struct args *a)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_vms vms = {.vm = NULL};
	int rc = 0;
	size_t i;

	if (cmd_read_vm_list(a->vms, &vms, &e)) {
		fprintf(stderr, "seamtargets: %s\n", e.text);
		return EXIT_FILE;
	}
	for (i = 0; i < vms.n && !rc; i++) {
		const struct seam_vm *vm = &vms.vm[i];

		if (*vm->pool && *vm->addr &&
		    serve(s, vm, a->pool && !strcmp(a->pool, vm->pool)))
			rc = EXIT_START;
	}
	seam_vms_free(&vms);
	return rc;
}

static void stop_all(struct servers *s)
{
	size_t i;

	for (i = 0; i < s->n; i++) {
		if (s->worker[i])
			seam_fake_worker_http_free(s->worker[i]);
		seam_fake_target_free(s->target[i]);
	}
	seam_fake_workers_free(s->workers);
}

int main(int argc, char **argv)
{
	struct args a = {NULL, NULL};
	struct servers *s = calloc(1, sizeof(*s));
	sigset_t set;
	int sig;
	int rc;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	cmd_block_signals(&set);
	s->workers = seam_fake_workers_new(seam_clock_real(), 1);
	rc = serve_all(s, &a);
	if (!rc)
		sigwait(&set, &sig);
	stop_all(s);
	free(s);
	return rc;
}
