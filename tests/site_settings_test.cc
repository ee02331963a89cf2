// Settings of a node on the users' platform.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "process/site_settings.h"

// Reads settings with @more members after the required ones.
static seam_site_settings read(const std::string &more)
{
	const char *name = "/tmp/seam_site_settings_test.json";
	seam_problems p = {name, nullptr, 0};
	seam_site_settings s;
	FILE *f = fopen(name, "w");

	fprintf(f,
		"{\"node\":\"n\",\"data_centre\":\"d\","
		"\"listen\":\"127.0.0.1:1\",\"ready\":\"127.0.0.1:2\","
		"\"control\":\"127.0.0.1:3\",\"seeds\":\"\","
		"\"store\":\"127.0.0.1:4\",\"vm_service\":\"127.0.0.1:5\"%s}",
		more.c_str());
	fclose(f);
	EXPECT_EQ(seam_site_settings_file(name, &s, &p), 0)
		<< (p.n ? p.text[0] : "");
	seam_problems_free(&p);
	remove(name);
	return s;
}

// Guards small nodes: 34 of them with 512 threads each had no room for the
// owner's threads.
TEST(SiteSettings, SmallNodeHasFewerThreads)
{
	EXPECT_EQ(read(",\"cpu_share\":0.12").threads, 245);
	EXPECT_EQ(read(",\"cpu_share\":0.01").threads, 64);
}

// Guards callers that keep their connections: a quarter of a core has as many
// as were needed there.
TEST(SiteSettings, UsualNodeHasThreadsForItsCallers)
{
	EXPECT_EQ(read(",\"cpu_share\":0.25").threads, 512);
	EXPECT_EQ(read("").threads, 512);
	EXPECT_EQ(read(",\"threads\":40,\"cpu_share\":0.12").threads, 40);
}
