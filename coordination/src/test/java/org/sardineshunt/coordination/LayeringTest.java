package org.sardineshunt.coordination;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

class LayeringTest {
    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.sardineshunt.coordination");

    @Test
    void usesNeitherInputOutputNorThreads() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..", "java.net..", "java.nio.channels..", "java.nio.file..", "java.util.concurrent..")
                .check(classes);
        noClasses().should().dependOnClassesThat().belongToAnyOf(Thread.class).check(classes);
    }

    @Test
    void readsNoClock() {
        noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.time.Clock")
                .check(classes);
    }

    @Test
    void createsNoSourceOfRandomness() {
        noClasses()
                .should()
                .callMethod(Math.class, "random")
                .orShould()
                .callConstructor(java.util.Random.class)
                .check(classes);
    }
}
