// Settings of a node on the users' platform.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "process/platform_settings.h"

static const char *const name = "/tmp/seam_platform_settings_test.json";

// Writes a file with @more after the required members.
static void write(const std::string &more)
{
	FILE *f = fopen(name, "w");

	fprintf(f,
		"{\"node\":\"n\",\"data_centre\":\"d\","
		"\"listen\":\"127.0.0.1:1\",\"ready\":\"127.0.0.1:2\","
		"\"control\":\"127.0.0.1:3\",\"seeds\":\"\","
		"\"store\":\"127.0.0.1:4\",\"vm_service\":\"127.0.0.1:5\"%s}",
		more.c_str());
	fclose(f);
}

static seam_platform_settings read(const std::string &more)
{
	seam_problems p = {name, nullptr, 0};
	seam_platform_settings s;

	write(more);
	EXPECT_EQ(seam_platform_settings_read_file(name, &s, &p), 0)
		<< (p.n ? p.text[0] : "");
	seam_problems_free(&p);
	remove(name);
	return s;
}

// Guards against more connections than the memory or the descriptors of a node
// bear. That they take no threads before callers come is tested in http_test.
TEST(PlatformSettings, ConnectionsFitTheNode)
{
	EXPECT_EQ(read(",\"memory_mb\":160").threads, 640);
	EXPECT_EQ(read(",\"memory_mb\":16").threads, 64);
	EXPECT_EQ(read(",\"descriptors\":600").threads, 200);
}

// Guards against too few connections: a node with a quarter of a core and 260
// MB needs 512 for callers that keep theirs open.
TEST(PlatformSettings, DefaultNodeHasConnectionsForItsCallers)
{
	EXPECT_GE(read(",\"cpu_share\":0.25,\"memory_mb\":260").threads, 512);
	EXPECT_GE(read("").threads, 512);
	EXPECT_EQ(read(",\"threads\":40,\"cpu_share\":0.12").threads, 40);
}

// Guards against a duplicate name that hides all other errors.
TEST(PlatformSettings, AllErrorsAreReported)
{
	seam_problems p = {name, nullptr, 0};
	seam_platform_settings s;
	std::string all;

	write(",\"node\":\"m\",\"threads\":-4,\"unknown\":1");
	EXPECT_EQ(seam_platform_settings_read_file(name, &s, &p), -1);
	for (size_t i = 0; i < p.n; i++)
		all += std::string(p.text[i]) + "\n";
	EXPECT_NE(all.find("\"node\" occurs twice"), std::string::npos) << all;
	EXPECT_NE(all.find("threads"), std::string::npos) << all;
	EXPECT_NE(all.find("unknown"), std::string::npos) << all;
	seam_problems_free(&p);
	remove(name);
}

// Guards against accepting a file whose only error is a duplicate name.
TEST(PlatformSettings, DuplicateNameIsRejected)
{
	seam_problems p = {name, nullptr, 0};
	seam_platform_settings s;

	write(",\"node\":\"m\"");
	EXPECT_EQ(seam_platform_settings_read_file(name, &s, &p), -1);
	EXPECT_EQ(p.n, 1u);
	seam_problems_free(&p);
	remove(name);
}
