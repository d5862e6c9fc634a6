package opalcove.cli;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.equivalentTo;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackages;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.io.Serializable;
import org.testng.annotations.Test;

/** Checks that dependencies point inwards. The poms enforce this between modules, and this test within them. */
public class LayersTest {
    private static final JavaClasses PRODUCT = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("opalcove");

    private static LayeredArchitecture layers() {
        return layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("decision")
                .definedBy("opalcove.decision..")
                .layer("membership")
                .definedBy("opalcove.membership..")
                .layer("config lease")
                .definedBy("opalcove.configlease..")
                .layer("recovery")
                .definedBy("opalcove.recovery..")
                .layer("config")
                .definedBy("opalcove.config..")
                .layer("replication")
                .definedBy("opalcove.replication..")
                .layer("cluster")
                .definedBy("opalcove.cluster..")
                .layer("transport")
                .definedBy("opalcove.transport..")
                .layer("metrics")
                .definedBy("opalcove.metrics..")
                .layer("core")
                .definedBy("opalcove.core..")
                .layer("backend")
                .definedBy("opalcove.backend..")
                .layer("lifecycle")
                .definedBy("opalcove.lifecycle..")
                .layer("discovery")
                .definedBy("opalcove.discovery..")
                .layer("platform")
                .definedBy("opalcove.resp..", "opalcove.admin..", "opalcove.server..", "opalcove.simulator..")
                .layer("plan")
                .definedBy("opalcove.plan..")
                .layer("mqtt")
                .definedBy("opalcove.mqtt..")
                .layer("control")
                .definedBy("opalcove.control..")
                .layer("laboratory")
                .definedBy("opalcove.laboratory..")
                .layer("programs")
                .definedBy("opalcove", "opalcove.cli..");
    }

    @Test
    public void dependenciesPointInwards() {
        layers().whereLayer("membership")
                .mayOnlyBeAccessedByLayers("config", "cluster", "replication", "platform", "laboratory")
                .whereLayer("config lease")
                .mayOnlyBeAccessedByLayers("replication", "laboratory", "programs")
                .whereLayer("recovery")
                .mayOnlyBeAccessedByLayers("replication", "laboratory", "programs")
                .whereLayer("replication")
                .mayOnlyBeAccessedByLayers("laboratory", "programs")
                .whereLayer("cluster")
                .mayOnlyBeAccessedByLayers("platform", "laboratory", "programs")
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers("backend", "lifecycle", "laboratory")
                .whereLayer("metrics")
                .mayOnlyBeAccessedByLayers("core", "backend", "lifecycle", "platform", "laboratory")
                .whereLayer("core")
                .mayOnlyBeAccessedByLayers(
                        "backend", "lifecycle", "discovery", "platform", "plan", "mqtt", "laboratory", "programs")
                .whereLayer("backend")
                .mayOnlyBeAccessedByLayers("platform", "mqtt", "laboratory")
                .whereLayer("lifecycle")
                .mayOnlyBeAccessedByLayers("platform", "mqtt", "laboratory", "programs")
                .whereLayer("discovery")
                .mayOnlyBeAccessedByLayers("platform", "mqtt", "laboratory")
                .whereLayer("platform")
                .mayOnlyBeAccessedByLayers("mqtt", "laboratory", "programs")
                .whereLayer("plan")
                .mayOnlyBeAccessedByLayers("mqtt", "programs")
                .whereLayer("mqtt")
                .mayOnlyBeAccessedByLayers("laboratory", "programs")
                .whereLayer("control")
                .mayOnlyBeAccessedByLayers("laboratory", "programs")
                .whereLayer("laboratory")
                .mayOnlyBeAccessedByLayers("programs")
                .whereLayer("programs")
                .mayNotBeAccessedByAnyLayer()
                .withOptionalLayers(true)
                .check(PRODUCT);
    }

    /** The decision packages use only java.lang and java.util and do no I/O; replicated types may be Serializable. */
    @Test
    public void decisionPackagesDependOnlyOnJavaLangAndJavaUtil() {
        for (String decisionPackage : new String[] {
            "opalcove.decision..", "opalcove.membership..", "opalcove.configlease..", "opalcove.recovery.."
        }) {
            noClasses()
                    .that()
                    .resideInAPackage(decisionPackage)
                    .should()
                    .dependOnClassesThat(resideOutsideOfPackages(decisionPackage, "java.lang..", "java.util..")
                            .and(not(equivalentTo(Serializable.class))))
                    .check(PRODUCT);
        }
    }

    /** The core is independent of the wire protocols. */
    @Test
    public void coreDoesNotDependOnNetworkClasses() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "opalcove.core..", "opalcove.backend..", "opalcove.metrics..", "opalcove.lifecycle..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.vertx.core.net..", "io.vertx.mqtt..", "io.netty.channel..", "io.netty.handler..")
                .check(PRODUCT);
    }

    /** The control service and the replicated configuration use the configuration types and no class of the gateway. */
    @Test
    public void controlAndReplicationDoNotDependOnGateway() {
        noClasses()
                .that()
                .resideInAnyPackage("opalcove.control..", "opalcove.replication..", "opalcove.config..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "opalcove.core..",
                        "opalcove.backend..",
                        "opalcove.metrics..",
                        "opalcove.lifecycle..",
                        "opalcove.resp..",
                        "opalcove.discovery..",
                        "opalcove.admin..",
                        "opalcove.server..",
                        "opalcove.transport..",
                        "opalcove.cluster..")
                .check(PRODUCT);
    }
}
