package opalcove.control;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

public class LayersTest {
    /** Checks that the stream and cluster state uses no sockets, threads, files or clocks. */
    @Test
    public void xdsAndClusterPackagesDependOnNoIo() {
        noClasses()
                .that()
                .resideInAnyPackage("opalcove.control.xds..", "opalcove.control.cluster..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "opalcove.control.server..",
                        "io.grpc..",
                        "io.vertx..",
                        "io.netty..",
                        "java.net..",
                        "java.nio.file..",
                        "java.util.concurrent..")
                .check(new ClassFileImporter()
                        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                        .importPackages("opalcove.control"));
    }
}
