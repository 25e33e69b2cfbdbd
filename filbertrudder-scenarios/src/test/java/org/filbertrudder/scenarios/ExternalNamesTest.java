package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Field;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Tests that no externally visible name was renamed: fields and values of messages, settings,
 * stored data, logs and metrics. Each listed name must still be a string constant, a record
 * component or an enum constant of the compiled product, or a token of the deployment files.
 */
public class ExternalNamesTest {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final List<String> MODULES =
            List.of(
                    "filbertrudder-model",
                    "filbertrudder-policy",
                    "filbertrudder-store",
                    "filbertrudder-peer",
                    "filbertrudder-entry",
                    "filbertrudder-gateway",
                    "platform",
                    "filbertrudder-app",
                    "filbertrudder-standins");

    @Test
    public void everyListedNameIsStillUsed() throws Exception {
        Set<String> unusedNames = new TreeSet<>(readListedNames());
        assertTrue(!unusedNames.isEmpty(), "the list of names is empty");
        unusedNames.removeAll(readDeploymentTokens());
        for (String module : MODULES) {
            Path classes = ROOT.resolve(module).resolve("target/classes");
            for (Path file : findFiles(classes, ".class")) {
                unusedNames.removeAll(readStringConstants(file));
                unusedNames.removeAll(recordComponentsAndEnumConstants(classes.relativize(file)));
            }
        }

        assertEquals(unusedNames, Set.of());
    }

    private static List<String> readListedNames() throws IOException {
        try (InputStream stream =
                ExternalNamesTest.class.getResourceAsStream("external-names.txt")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    private static Set<String> readDeploymentTokens() throws IOException {
        Set<String> tokens = new HashSet<>();
        for (Path file : findFiles(ROOT.resolve("deploy"), ".toml")) {
            tokens.addAll(List.of(Files.readString(file).split("[\\s=\\[\\]]+")));
        }
        return tokens;
    }

    private static List<Path> findFiles(Path root, String suffix) throws IOException {
        try (Stream<Path> paths = Files.walk(root)) {
            return paths.filter(file -> file.toString().endsWith(suffix)).toList();
        }
    }

    private static List<String> recordComponentsAndEnumConstants(Path file)
            throws ClassNotFoundException {
        String path = file.toString().replace('/', '.');
        String name = path.substring(0, path.length() - ".class".length());
        List<String> names = new ArrayList<>();
        if (name.endsWith("package-info")) {
            return names;
        }
        Class<?> type = Class.forName(name, false, ExternalNamesTest.class.getClassLoader());
        if (type.isRecord()) {
            for (RecordComponent component : type.getRecordComponents()) {
                names.add(component.getName());
            }
        }
        if (type.isEnum()) {
            for (Field field : type.getDeclaredFields()) {
                if (field.isEnumConstant()) {
                    names.add(field.getName());
                }
            }
        }
        return names;
    }

    /**
     * Reads the string constants of a class file, as section 4.4 of the JVM specification lays out.
     */
    private static Set<String> readStringConstants(Path file) throws IOException {
        try (DataInputStream input = new DataInputStream(Files.newInputStream(file))) {
            input.readInt();
            input.readInt();
            int count = input.readUnsignedShort();
            String[] utf8 = new String[count];
            List<Integer> strings = new ArrayList<>();
            for (int i = 1; i < count; i++) {
                int tag = input.readUnsignedByte();
                switch (tag) {
                    case 1 -> utf8[i] = input.readUTF();
                    case 8 -> strings.add(input.readUnsignedShort());
                    case 3, 4, 9, 10, 11, 12, 17, 18 -> input.readInt();
                    case 5, 6 -> {
                        input.readLong();
                        i++;
                    }
                    case 7, 16, 19, 20 -> input.readUnsignedShort();
                    case 15 -> input.skipBytes(3);
                    default ->
                            throw new IOException(
                                    "Unknown constant pool tag " + tag + " in " + file);
                }
            }
            Set<String> constants = new HashSet<>();
            strings.forEach(index -> constants.add(utf8[index].strip()));
            return constants;
        }
    }
}
