/*
 * seamplatform - in-memory stand-in for the platform's HTTP interface
 *
 * Exit codes: 0 after SIGTERM or SIGINT, 2 for a wrong command line, 4 if it
 * cannot listen.
 */
#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#include "base/json.h"
#include "cmd/common.h"
#include "cmd/vmlist.h"
#include "fake/fake.h"
#include "version/conf.h"

enum { EXIT_USAGE = 2, EXIT_START = 4 };

const char *argp_program_version = "seamplatform 0.1";

struct args {
	const char *listen;
	const char *config;
	const char *vms;
};

static const struct argp_option options[] = {
	{"listen", 'l', "IP:PORT", 0, "address to listen on", 0},
	{"config", 'c', "FILE", 0, "initial configuration", 0},
	{"vms", 'v', "FILE", 0,
	 "VM list: array of id, data_centre, rack, addr, "
	 "pool, cpu_milli, memory_mb, accelerators",
	 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case 'l':
		a->listen = arg;
		return 0;
	case 'c':
		a->config = arg;
		return 0;
	case 'v':
		a->vms = arg;
		return 0;
	case ARGP_KEY_END:
		if (!a->listen)
			argp_error(state, "--listen is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.doc = "Runs a stand-in for the platform. GET /vms?since=CURSOR "
	       "returns the changes of the VM list since the cursor, or the "
	       "whole list if the cursor is from an earlier run. PUT /faults "
	       "sets down, delay_ms, lose_answers, writes_per_sec, "
	       "reads_per_sec.",
};

static int load_vms(struct seam_fake_platform *p, const char *file,
		    struct seam_err *e)
{
	struct seam_vms vms = {.vm = NULL};
	size_t i;

	if (cmd_read_vm_list(file, &vms, e))
		return -1;
	for (i = 0; i < vms.n; i++)
		seam_fake_platform_put(p, &vms.vm[i]);
	seam_vms_free(&vms);
	return 0;
}

static int run(const struct args *a, struct seam_store *mem,
	       struct seam_fake_platform *vms, const sigset_t *set)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_fake_platform_http *s;
	int sig;

	if ((a->config &&
	     cmd_write_initial_config(mem, a->config, "seamplatform", &e)) ||
	    (a->vms && load_vms(vms, a->vms, &e))) {
		fprintf(stderr, "seamplatform: %s\n", e.text);
		return EXIT_START;
	}
	s = seam_fake_platform_http_new(seam_clock_real(), a->listen, mem,
					seam_fake_platform_base(vms));
	if (!s) {
		fprintf(stderr, "seamplatform: cannot listen on %s\n",
			a->listen);
		return EXIT_START;
	}
	sigwait(set, &sig);
	seam_fake_platform_http_free(s);
	return 0;
}

int main(int argc, char **argv)
{
	struct args a = {NULL, NULL, NULL};
	struct seam_fake_platform *vms;
	struct seam_store *mem;
	sigset_t set;
	int rc;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	cmd_block_signals(&set);
	mem = seam_store_mem_new(seam_clock_real());
	vms = seam_fake_platform_new(seam_clock_real());
	rc = run(&a, mem, vms, &set);
	seam_fake_platform_free(vms);
	seam_store_close(mem);
	return rc;
}
