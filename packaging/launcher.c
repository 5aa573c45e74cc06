/*
 * Launcher at the start of the one-file binary. It unpacks the program appended to it
 * into a memory file system and replaces its own process image with that program.
 *
 * The one-file modes of PyInstaller and Nuitka keep a parent process that starts a
 * child process. This launcher uses a single process throughout.
 *
 * Layout of the binary: this launcher, then records (mode u32, path length u32, size
 * u64, path, content), then the trailer (offset of the first record u64, build id of
 * 16 hex digits, "BORAGEGW"). All numbers are little-endian. `packaging/build.py`
 * writes the records and the trailer.
 */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define TRAILER_MAGIC "BORAGEGW"
#define BUFFER_BYTES (1 << 20)

struct trailer {
    uint64_t offset;
    char build_id[16];
    char magic[8];
};

static void fail(const char *what)
{
    fprintf(stderr, "boragegw: cannot unpack: %s: %s\n", what, strerror(errno));
    exit(70);
}

static void make_parent_directories(char *path)
{
    for (char *p = path + 1; *p; p++) {
        if (*p != '/')
            continue;
        *p = 0;
        if (mkdir(path, 0700) && errno != EEXIST)
            fail(path);
        *p = '/';
    }
}

static void unpack_record(FILE *self, const char *root)
{
    uint32_t mode, name_length;
    uint64_t size;
    static char buffer[BUFFER_BYTES];
    char name[PATH_MAX], path[2 * PATH_MAX];

    if (fread(&mode, 4, 1, self) != 1 || fread(&name_length, 4, 1, self) != 1 ||
        fread(&size, 8, 1, self) != 1 || name_length >= sizeof name ||
        fread(name, 1, name_length, self) != name_length)
        fail("reading a record header");
    name[name_length] = 0;
    snprintf(path, sizeof path, "%s/%s", root, name);
    make_parent_directories(path);
    int out = open(path, O_WRONLY | O_CREAT | O_TRUNC, mode);
    if (out < 0)
        fail(path);
    while (size > 0) {
        size_t chunk = size < BUFFER_BYTES ? size : BUFFER_BYTES;
        if (fread(buffer, 1, chunk, self) != chunk)
            fail("reading the content of a record");
        if (write(out, buffer, chunk) != (ssize_t)chunk)
            fail(path);
        size -= chunk;
    }
    close(out);
}

int main(int argc, char **argv)
{
    struct trailer trailer;
    char root[PATH_MAX], partial[PATH_MAX + 32], program[PATH_MAX + 32];
    const char *parent = getenv("BORAGEGW_UNPACK");
    FILE *self = fopen("/proc/self/exe", "rb");

    (void)argc;
    if (!self || fseek(self, -(long)sizeof trailer, SEEK_END))
        fail("reading /proc/self/exe");
    long end = ftell(self);
    if (fread(&trailer, sizeof trailer, 1, self) != 1 ||
        memcmp(trailer.magic, TRAILER_MAGIC, sizeof trailer.magic))
        fail("no trailer at the end of the binary");
    snprintf(root, sizeof root, "%s/boragegw-%u-%.16s", parent ? parent : "/tmp",
             (unsigned)getuid(), trailer.build_id);
    snprintf(program, sizeof program, "%s/boragegw", root);
    if (access(program, X_OK)) {
        snprintf(partial, sizeof partial, "%s.%d", root, (int)getpid());
        fseek(self, (long)trailer.offset, SEEK_SET);
        while (ftell(self) < end)
            unpack_record(self, partial);
        /* Another process may have unpacked the same build; its copy is identical. */
        if (rename(partial, root) && access(program, X_OK))
            fail(root);
    }
    fclose(self);
    execv(program, argv);
    fail(program);
}
